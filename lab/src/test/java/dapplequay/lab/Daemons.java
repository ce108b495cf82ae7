package dapplequay.lab;

/** Starts daemon threads for scripted peers, which end with the test or when the connection closes. */
public final class Daemons {
    /** The work of a peer; an exception ends only its own thread. */
    public interface Work {
        void run() throws Exception;
    }

    private Daemons() { }

    public static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // Expected when the peer closes the connection at the end of a test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
