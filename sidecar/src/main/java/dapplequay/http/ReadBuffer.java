package dapplequay.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** The read buffer of a connection: bytes received and not yet consumed. It grows on demand up to a limit. */
final class ReadBuffer {
    private static final int INITIAL_BYTES = 1024;
    /** Largest array that an empty buffer keeps: otherwise many connections that once had a long body fill the heap. */
    private static final int MAX_IDLE_BYTES = 8 * 1024;

    private final int maxBytes;
    private byte[] data = new byte[INITIAL_BYTES];
    private int start;
    private int end;
    private int readSize = INITIAL_BYTES;

    ReadBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    int size() {
        return end - start;
    }

    boolean isFull() {
        return size() == maxBytes;
    }

    byte at(int index) {
        return data[start + index];
    }

    /** Sets how many bytes one read may take, within the buffer's limit; 0 restores the initial size. */
    void setReadSize(int bytes) {
        readSize = Math.max(INITIAL_BYTES, Math.min(maxBytes, bytes));
        if (size() == 0) {
            skip(0);
        }
    }

    /**
     * Reads once and appends to the buffer; returns the number of bytes read, or -1 at the end of the stream.
     *
     * @throws BadMessageException if the buffer is full
     */
    int fill(InputStream in) throws IOException {
        if (size() == 0 && data.length < readSize) {
            data = new byte[readSize];
            start = 0;
            end = 0;
        }
        if (end == data.length) {
            if (start > 0) {
                System.arraycopy(data, start, data, 0, end - start);
                end -= start;
                start = 0;
            } else if (data.length < maxBytes) {
                data = Arrays.copyOf(data, Math.min(maxBytes, data.length * 2));
            } else {
                throw new BadMessageException(413, "message too large");
            }
        }
        int read = in.read(data, end, data.length - end);
        if (read > 0) {
            end += read;
        }
        return read;
    }

    /** Removes up to {@code maxCount} bytes from the front, copies them to {@code target} and returns their number. */
    int take(byte[] target, int offset, int maxCount) {
        int count = Math.min(maxCount, size());
        System.arraycopy(data, start, target, offset, count);
        skip(count);
        return count;
    }

    /** Removes the first {@code count} bytes and returns them. */
    byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(data, start, start + count);
        skip(count);
        return taken;
    }

    void skip(int count) {
        start += count;
        if (start == end) {
            start = 0;
            end = 0;
            if (data.length > Math.max(MAX_IDLE_BYTES, readSize)) {
                data = new byte[INITIAL_BYTES];
            }
        }
    }

    int capacity() {
        return data.length;
    }
}
