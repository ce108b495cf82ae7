package dapplequay.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, taken over before anything else is done: until then it ends the process, as the JVM has it. One that comes
 * before there is a sidecar to retune is kept for it, as the file may have been read already.
 */
final class HangupSignal {
    private Runnable action;
    private boolean isPending;
    private boolean isIgnored;

    /** From here on the signal ends nothing. */
    static HangupSignal install() {
        HangupSignal hangup = new HangupSignal();
        // Who started this process may have had it ignored, and the JVM leaves that as it is, without a word.
        hangup.isIgnored = Signal.handle(new Signal("HUP"), signal -> hangup.received()) == SignalHandler.SIG_IGN;
        return hangup;
    }

    /** Whether it will never come. */
    boolean isIgnored() {
        return isIgnored;
    }

    /** What it sets off from here on; at once if it has come before. */
    void setAction(Runnable newAction) {
        synchronized (this) {
            action = newAction;
            if (!isPending) {
                return;
            }
            isPending = false;
        }
        newAction.run();
    }

    private void received() {
        Runnable current;
        synchronized (this) {
            current = action;
            isPending = current == null;
        }
        if (current != null) {
            current.run();
        }
    }
}
