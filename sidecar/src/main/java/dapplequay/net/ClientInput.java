package dapplequay.net;

import dapplequay.http.MessageReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * What a client sends, read by its connection's thread alone. A client that ends its sending has gone, whether it
 * closed or goes on reading: the two can't be told apart before something is written. The end of a stream shows only
 * behind the last byte, so that one who waits for another thing than the next byte has to look for it. Whoever passes a
 * long answer on takes the reading over, once the reading thread has left.
 */
final class ClientInput extends InputStream {
    /** A look waits for so long where nothing has come, ms; a socket knows no shorter time. */
    private static final int LOOK_MS = 1;
    /** So much is taken in by one look, bytes: who sends without end must not keep its thread from the answer, ... */
    private static final int MOST_AT_ONCE = 1 << 20;
    /** ... nor many of them the process from its work: from so many spilt bytes on, a look takes only so much. */
    private static final int FLOOD = 2 << 20;
    private static final int FLOOD_AT_ONCE = 64 * 1024;
    private static final int PIECE = 8 * 1024;
    /** While an answer is due, the reading thread asks so often, ms, whether the reading is still its own. */
    private static final int OWN_MS = 200;

    /** The reading is another thread's from here on. */
    static final class HandedOver extends IOException {
        private static final long serialVersionUID = 1L;

        HandedOver() {
            super("handed over");
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final LongSupplier clock;
    private long heardUs;
    private volatile long spiltBytes;
    private volatile boolean isInHand;
    private volatile boolean isResponseDue;
    private volatile boolean gone;
    private boolean looks;
    /** This and the next: under this object's own lock. */
    private boolean handedOver;
    private boolean left;

    /** {@code clock}: microseconds. */
    ClientInput(Socket socket, LongSupplier clock) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        this.clock = clock;
        heardUs = clock.getAsLong();
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] into, int from, int length) throws IOException {
        isInHand = false;
        // One byte first: until this thread has said that it has it, the rest still lies with the system, where whoever
        // wants to close a quiet connection finds it.
        int count = looks ? receive(into, from, Math.min(1, length)) : await(into, from, Math.min(1, length));
        isInHand = count > 0;
        if (count > 0 && length > 1 && in.available() > 0) {
            count += Math.max(0, receive(into, from + 1, length - 1));
        }
        heardUs = clock.getAsLong();
        return count;
    }

    private int await(byte[] into, int from, int length) throws IOException {
        while (true) {
            checkOwn();
            socket.setSoTimeout(isResponseDue ? OWN_MS : 0);
            try {
                return receive(into, from, length);
            } catch (SocketTimeoutException e) {
                // Nothing has come: whose the reading is may have changed.
            }
        }
    }

    private int receive(byte[] into, int from, int length) throws IOException {
        try {
            int count = in.read(into, from, length);
            gone |= count < 0;
            return count;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            gone = true;
            throw e;
        }
    }

    private synchronized void checkOwn() throws HandedOver {
        if (handedOver) {
            throw new HandedOver();
        }
    }

    /** Whether an answer is due: the reading may be handed over then alone, and its thread waits accordingly. */
    void setResponseDue(boolean due) {
        isResponseDue = due;
    }

    /** The reading is the caller's, from the moment on at which the reading thread has left. */
    synchronized void handOver() {
        handedOver = true;
    }

    /** The reading thread leaves; whether the reading, and the connection, were handed over. */
    synchronized boolean leave() {
        left = true;
        return handedOver;
    }

    /** Gives the reading back to its thread; false where that has left, and what is still to do is the caller's. */
    synchronized boolean giveBack() {
        handedOver &= left;
        return !left;
    }

    private synchronized boolean hasLeft() {
        return left;
    }

    /** Whether the end of the stream was seen, or a break; any thread may ask. */
    boolean isGone() {
        return gone;
    }

    /** For the thread that it was handed over to: whether the client is there. What has come is thrown away. */
    boolean isThere() throws IOException {
        return hasLeft() ? look(null, true) : !gone;
    }

    /** When the client was last known to be there, microseconds. */
    long heardUs() {
        return heardUs;
    }

    /** Whether something was read that the reading thread is about to use; any thread may ask. */
    boolean isInHand() {
        return isInHand;
    }

    /** Whether something was thrown away, so that nobody can say where the next request begins; any thread may ask. */
    boolean isOverfull() {
        return spiltBytes > 0;
    }

    /**
     * Looks whether the client is still there, and takes in what has come: EOFException at the end of the stream. It is
     * read into the reader's buffer; what does not fit there is thrown away if {@code spills}, and else left unread,
     * with what is behind it.
     */
    void expect(MessageReader reader, boolean spills) throws IOException {
        checkOwn();
        if (!look(reader, spills)) {
            throw new EOFException("the client has left");
        }
    }

    private boolean look(MessageReader reader, boolean spills) throws IOException {
        byte[] spilt = null;
        int most = spiltBytes < FLOOD ? MOST_AT_ONCE : FLOOD_AT_ONCE;
        looks = true;
        socket.setSoTimeout(LOOK_MS);
        try {
            for (int sum = 0, count; sum < most; sum += count) {
                if (reader != null && !reader.isFull()) {
                    count = reader.readAhead();
                } else if (spills) {
                    spilt = spilt == null ? new byte[PIECE] : spilt;
                    count = read(spilt, 0, PIECE);
                    spiltBytes += Math.max(0, count);
                } else {
                    return true;
                }
                if (count < 0) {
                    return false;
                }
            }
        } catch (SocketTimeoutException e) {
            heardUs = clock.getAsLong();        // nothing more, and no end: it is there
        } finally {
            isInHand = reader != null && reader.hasBytes();
            looks = false;
        }
        return true;
    }
}
