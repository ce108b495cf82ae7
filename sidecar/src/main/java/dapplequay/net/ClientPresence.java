package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Checks whether one connection's client is still there; created by the thread that reads the connection. While that
 * thread blocks in a read, it notices at once that the client leaves. Otherwise somebody has to check before more work
 * is done for the client.
 */
final class ClientPresence {
    private static final Logger LOG = Logger.getLogger(ClientPresence.class.getName());
    /** Interval of the checks while a response is due and the client has sent more, in milliseconds. */
    static final long POLL_WHILE_BUSY_MS = 25;
    /** After this time without a sign of the client, in microseconds, it may have left unnoticed. */
    private static final long MAX_AGE_US = 20_000;

    private final ClientListener listener;
    private final ClientInput input;
    private final MessageReader reader;
    private final Thread readingThread = Thread.currentThread();
    /** When the reading thread began other work, in microseconds; -1 while it reads. */
    private volatile long awaySinceUs = -1;

    ClientPresence(ClientListener listener, ClientInput input, MessageReader reader) {
        this.listener = listener;
        this.input = input;
        this.reader = reader;
    }

    private boolean isStale(long nowUs) {
        return nowUs - input.lastSeenUs() > MAX_AGE_US;
    }

    /**
     * Checks for the client unless it was seen just now; throws EOFException if it has left. Its request may have lain
     * in the buffer for a while, or in the socket, if this process is running late.
     */
    void checkPresent(long nowUs, boolean isRequestComplete) throws IOException {
        if (isStale(nowUs) || listener.isLate(nowUs)) {
            input.checkPresent(reader, isRequestComplete);
        }
    }

    /**
     * Runs work that may keep the reading thread, for example while an upstream accepts no more bytes, and checks for
     * the client afterwards. Other threads that are about to do more for the client wait for that check. Called by the
     * reading thread.
     */
    void runWhileAway(Exchange exchange, boolean isRequestComplete, Runnable work) throws IOException {
        awaySinceUs = listener.deadlines().now();
        try {
            work.run();
            if (isStale(listener.deadlines().now())) {
                input.checkPresent(reader, isRequestComplete);
            }
        } catch (IOException e) {
            listener.dispatcher().clientLeft(exchange);   // before waiting threads go on
            throw e;
        } finally {
            markReturned();
        }
    }

    private synchronized void markReturned() {
        awaySinceUs = -1;
        notifyAll();
    }

    /**
     * Checks for the client right before an attempt's first byte, if it may have left unnoticed. The reading thread
     * checks itself. Other threads wait if the reading thread has been away for long: the attempt that kept it has
     * ended, or there would be no other one, so it will return soon.
     */
    void checkBeforeSend(Exchange exchange, boolean isRequestComplete) {
        try {
            if (Thread.currentThread() != readingThread) {
                awaitReadingThread(exchange);
            } else if (isStale(listener.deadlines().now())) {
                input.checkPresent(reader, isRequestComplete);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "client has disconnected: {0}", e.toString());
            listener.dispatcher().clientLeft(exchange);
        }
    }

    private synchronized void awaitReadingThread(Exchange exchange) {
        try {
            while (awaySinceUs >= 0 && listener.deadlines().now() - awaySinceUs > MAX_AGE_US && !exchange.isClaimed()) {
                MonitorWaits.atMost(this, POLL_WHILE_BUSY_MS);
            }
        } catch (InterruptedIOException e) {
            LOG.log(Level.FINE, "wait for the reading thread was interrupted: {0}", e.toString());
        }
    }
}
