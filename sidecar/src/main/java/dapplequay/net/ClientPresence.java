package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Whether a client is still there, for one connection and the thread that reads it, which makes this. While that thread
 * stands in its read, a departure shows at once. Else somebody has to look before more is done for the client.
 */
final class ClientPresence {
    private static final Logger LOG = Logger.getLogger(ClientPresence.class.getName());
    /** While an answer is due and the client has sent more, it is looked for each so many ms. */
    static final long POLL_WHILE_BUSY_MS = 25;
    /** So long after it was last heard of, us, a client may have gone without having been missed. */
    private static final long MAX_AGE_US = 20_000;

    private final ClientListener listener;
    private final ClientInput input;
    private final MessageReader reader;
    private final Thread readingThread = Thread.currentThread();
    /** Since when, us, the thread has been with an attempt and does not read; -1: it reads. */
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
     * Looks for the client where it is not known for sure to be there: what it sent lay in the buffer for a while, or
     * perhaps in the socket, as this process came late. Else nothing is asked. EOFException: it has left.
     */
    void checkPresent(long nowUs, boolean isRequestComplete) throws IOException {
        if (isStale(nowUs) || listener.isLate(nowUs)) {
            input.checkPresent(reader, isRequestComplete);
        }
    }

    /**
     * By the connection's thread: does what may keep it, as an upstream takes what it writes no further, and looks
     * then. Who is about to do more for the client meanwhile is made to wait for that.
     */
    void runWhileAway(Exchange exchange, boolean isRequestComplete, Runnable work) throws IOException {
        awaySinceUs = listener.deadlines().now();
        try {
            work.run();
            if (isStale(listener.deadlines().now())) {
                input.checkPresent(reader, isRequestComplete);
            }
        } catch (IOException e) {
            listener.conductor().clientLeft(exchange);      // before anybody who waits goes on
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
     * Right before an attempt's first byte: has the client looked for, where it may have left unseen. The connection's
     * thread looks itself. Others wait where it is away for long: the attempt that keeps it has ended, or there would
     * be no other, so that it is on its way back.
     */
    void checkBeforeSend(Exchange exchange, boolean isRequestComplete) {
        try {
            if (Thread.currentThread() != readingThread) {
                awaitReadingThread(exchange);
            } else if (isStale(listener.deadlines().now())) {
                input.checkPresent(reader, isRequestComplete);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "the client has gone: {0}", e.toString());
            listener.conductor().clientLeft(exchange);
        }
    }

    private synchronized void awaitReadingThread(Exchange exchange) {
        try {
            while (awaySinceUs >= 0 && listener.deadlines().now() - awaySinceUs > MAX_AGE_US && !exchange.isOver()) {
                Waits.atMost(this, POLL_WHILE_BUSY_MS);
            }
        } catch (InterruptedIOException e) {
            LOG.log(Level.FINE, "client not waited for: {0}", e.toString());
        }
    }
}
