package dapplequay.lab;

/** Threads of scripted peers: they end with the test, or when their far end is gone. */
public final class Daemons {
    /** What a peer does; an exception ends it and nothing else. */
    public interface Work {
        void run() throws Exception;
    }

    private Daemons() { }

    public static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The far end is gone, as every test ends.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
