package dapplequay.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/**
 * What comes on a socket until a moment that is asked for before each read: an answer that drips is over then like one
 * that never came, where a time-out of the socket's begins anew with each byte.
 */
final class LimitedInput extends InputStream {
    private final Socket socket;
    private final InputStream in;
    private final LongSupplier leftUs;
    private final Runnable read;

    /** {@code leftUs}: how long may still be waited; {@code read}: told when something has come. */
    LimitedInput(Socket socket, LongSupplier leftUs, Runnable read) throws IOException {
        this.socket = socket;
        in = socket.getInputStream();
        this.leftUs = leftUs;
        this.read = read;
    }

    /** In whole milliseconds, at least 1; SocketTimeoutException where nothing is left. */
    static int millis(long leftUs) throws SocketTimeoutException {
        if (leftUs <= 0) {
            throw new SocketTimeoutException("the call's time is over");
        }
        return (int) Math.min(Integer.MAX_VALUE, (leftUs + 999) / 1_000);
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] into, int from, int length) throws IOException {
        socket.setSoTimeout(millis(leftUs.getAsLong()));
        int count = in.read(into, from, length);
        if (count > 0) {
            read.run();
        }
        return count;
    }
}
