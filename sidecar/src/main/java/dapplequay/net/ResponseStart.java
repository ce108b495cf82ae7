package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The first bytes of a response's body, or all of a short one, and the memory that was reserved for them. A body is
 * short if it fits into {@link MessageReader#SHORT_BODY_BYTES} and into the memory that is granted; any other is
 * relayed as it arrives.
 */
final class ResponseStart {
    private static final Logger LOG = Logger.getLogger(ResponseStart.class.getName());
    /** How long a response of unknown length is buffered before it is relayed as it arrives. */
    private static final long BUFFER_RESPONSE_US = 100_000;
    private static final byte[] NOTHING = new byte[0];

    private final BodyMemory memory;
    private byte[] bytes = NOTHING;
    private int size;
    private int reserved;

    private ResponseStart(BodyMemory memory) {
        this.memory = memory;
    }

    /**
     * Reads the start of a body. A body of unknown length counts as long if it is not complete within {@link
     * #BUFFER_RESPONSE_US}: most are short, and a short one that breaks can be requested from another host. Of a long
     * body of known length nothing is read.
     *
     * @param socket     the connection that the body arrives on; its read timeout is 0 afterwards
     * @param clock      in microseconds
     * @param isRelayable whether the body is relayed if it is long; if not, its first bytes are read all the same
     * @param latestUs   a body of unknown length is not waited for beyond this time, in microseconds
     */
    static ResponseStart read(Body body, Socket socket, LongSupplier clock, BodyMemory memory, boolean isRelayable,
            long latestUs) throws IOException {
        ResponseStart start = new ResponseStart(memory);
        boolean isRead = false;
        try {
            if (body.length() < 0) {
                start.readUnknownLength(body, socket, clock, latestUs);
            } else {
                start.readKnownLength(body, isRelayable);
            }
            start.bytes = start.size == start.bytes.length ? start.bytes : Arrays.copyOf(start.bytes, start.size);
            isRead = true;
            return start;
        } finally {
            if (!isRead) {
                start.release();
            }
        }
    }

    byte[] bytes() {
        return bytes;
    }

    /** Gives the memory back; the bytes must not be used any more. Further calls do nothing. */
    void release() {
        memory.release(reserved);
        reserved = 0;
        bytes = NOTHING;
    }

    private void readKnownLength(Body body, boolean isRelayable) throws IOException {
        int wanted = (int) Math.min(MessageReader.SHORT_BODY_BYTES, body.length());
        int limit = reserve(wanted);
        if (isRelayable && limit < body.length()) {
            return;
        }
        bytes = new byte[limit];
        while (size < limit && !body.isComplete()) {
            size += Math.max(0, body.read(bytes, size, limit - size));
        }
    }

    private void readUnknownLength(Body body, Socket socket, LongSupplier clock, long latestUs) throws IOException {
        long bufferUntilUs = Math.min(clock.getAsLong() + BUFFER_RESPONSE_US, latestUs);
        int limit = BodyMemory.MIN_GRANT;
        bytes = new byte[limit];
        try {
            do {
                if (size == BodyMemory.MIN_GRANT && reserved == 0) {
                    limit = reserve(MessageReader.SHORT_BODY_BYTES);
                }
                if (size == limit) {
                    return;
                }
                if (size == bytes.length) {
                    bytes = Arrays.copyOf(bytes, Math.min(limit, 2 * size));
                }
                socket.setSoTimeout((int) Math.max(1, (bufferUntilUs - clock.getAsLong()) / 1000));
                size += Math.max(0, body.read(bytes, size, bytes.length - size));
            } while (!body.isComplete() && clock.getAsLong() < bufferUntilUs);
        } catch (SocketTimeoutException e) {
            LOG.log(Level.FINE, "response from {0} is slow and is relayed as it comes",
                    socket.getRemoteSocketAddress());
        } finally {
            socket.setSoTimeout(0);
        }
    }

    /** Reserves memory unless a body may take that much in any case; returns how much it may take. */
    private int reserve(int wanted) {
        if (wanted <= BodyMemory.MIN_GRANT) {
            return wanted;
        }
        reserved = memory.reserve(wanted);
        return reserved;
    }
}
