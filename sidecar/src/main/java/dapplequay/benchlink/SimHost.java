package dapplequay.benchlink;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import dapplequay.settings.SettingsException;

/** The simulator's adapter: reads events from standard input and writes only actions to standard output. */
public final class SimHost {
    static final int EXIT_BAD_INPUT = 3;

    private SimHost() { }

    /** Processes standard input until it ends; returns the exit status. */
    public static int run() {
        return run(System.in, new FileOutputStream(FileDescriptor.out), System.err);
    }

    static int run(InputStream in, OutputStream out, PrintStream err) {
        WireReader reader = null;
        try {
            reader = new WireReader(in);
            InstanceDispatcher dispatcher = new InstanceDispatcher(new WireWriter(out));
            Batch batch;
            while ((batch = reader.nextBatch()) != null) {
                dispatcher.process(batch);
            }
            return 0;
        } catch (WireFormatException | SettingsException e) {
            err.println("simhost: " + e.getMessage());
        } catch (IOException e) {
            // Jackson's messages have several lines and quote the source; the first line names the error.
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            String position = reader == null ? "" : reader.position() + ": ";
            err.println("simhost: " + position + "unreadable: " + reason);
        }
        return EXIT_BAD_INPUT;
    }
}
