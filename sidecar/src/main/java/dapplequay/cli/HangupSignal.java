package dapplequay.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, taken over before anything else is done: until then it ends the process, as the JVM has it. One that comes
 * before there is a sidecar to retune is kept for it, as the file may have been read already.
 */
final class HangupSignal {
    private Runnable reload;
    private boolean waits;
    private boolean isIgnored;

    /** From here on the signal ends nothing. */
    static HangupSignal taken() {
        HangupSignal hangup = new HangupSignal();
        // Who started this process may have had it ignored, and the JVM leaves that as it is, without a word.
        hangup.isIgnored = Signal.handle(new Signal("HUP"), signal -> hangup.came()) == SignalHandler.SIG_IGN;
        return hangup;
    }

    /** Whether it will never come. */
    boolean isIgnored() {
        return isIgnored;
    }

    /** What it sets off from here on; at once if it has come before. */
    void sets(Runnable off) {
        synchronized (this) {
            reload = off;
            if (!waits) {
                return;
            }
            waits = false;
        }
        off.run();
    }

    private void came() {
        Runnable now;
        synchronized (this) {
            now = reload;
            waits = now == null;
        }
        if (now != null) {
            now.run();
        }
    }
}
