package dapplequay.benchlink;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The command line of the jar. */
public final class Main {
    static final int USAGE = 2;
    static final int BAD_INPUT = 3;

    private Main() { }

    /** Runs the subcommand that the first argument names. */
    public static void main(String[] args) {
        OutputStream out = new FileOutputStream(FileDescriptor.out);
        int status = run(args, System.in, out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            err.println("usage: java -jar dapplequay.jar simhost"
                    + "   (events on standard input, actions on standard output)");
            return USAGE;
        }
        WireReader reader = null;
        try {
            reader = new WireReader(in);
            Instances instances = new Instances(new WireWriter(out));
            Batch batch;
            while ((batch = reader.next()) != null) {
                instances.play(batch);
            }
            return 0;
        } catch (WireException e) {
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
