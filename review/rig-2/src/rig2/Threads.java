package rig2;

import java.io.IOException;

/** Starts daemon threads whose broken connections are no error. */
final class Threads {
    private Threads() { }

    /** What a thread runs. */
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // The other side has left, or the rig ends.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
