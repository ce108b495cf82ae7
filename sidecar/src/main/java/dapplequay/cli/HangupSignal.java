package dapplequay.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP. It is installed first of all, as the JVM ends the process at SIGHUP by default. A signal that arrives
 * before the action is set is remembered until then, as the configuration may have been read already.
 */
final class HangupSignal {
    private Runnable action;
    private boolean isPending;
    private boolean isIgnored;

    /** Installs the handler; from here on the signal does not end the process. */
    static HangupSignal install() {
        HangupSignal hangup = new HangupSignal();
        // The parent process may have set the signal to be ignored; the JVM leaves it so and does not report it.
        hangup.isIgnored = Signal.handle(new Signal("HUP"), signal -> hangup.received()) == SignalHandler.SIG_IGN;
        return hangup;
    }

    /** True if the signal is ignored and never arrives. */
    boolean isIgnored() {
        return isIgnored;
    }

    /** Sets the action for each signal; runs it at once if a signal has arrived already. */
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
