package dapplequay.benchlink;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import dapplequay.settings.SettingsException;

/** The simulator's side of the program: events on the input, actions on the output, nothing else there. */
public final class SimHost {
    static final int BAD_INPUT = 3;

    private SimHost() { }

    /** On the process's own streams, until the input ends; the exit status. */
    public static int run() {
        return run(System.in, new FileOutputStream(FileDescriptor.out), System.err);
    }

    static int run(InputStream in, OutputStream out, PrintStream err) {
        WireReader reader = null;
        try {
            reader = new WireReader(in);
            Instances instances = new Instances(new WireWriter(out));
            Batch batch;
            while ((batch = reader.next()) != null) {
                instances.play(batch);
            }
            return 0;
        } catch (WireException | SettingsException e) {
            err.println("simhost: " + e.getMessage());
        } catch (IOException e) {
            // Jackson's messages span lines and carry the source; the first line says what is wrong.
            String what = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            String place = reader == null ? "" : reader.place() + ": ";
            err.println("simhost: " + place + "unreadable: " + what);
        }
        return BAD_INPUT;
    }
}
