package dapplequay.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** The one buffer of a connection: bytes read and not yet used. It grows as it needs, up to a limit. */
final class Buffer {
    private static final int FIRST_SIZE = 1024;
    /** What an empty buffer may keep: many connections that each once saw a long body fill the heap. */
    private static final int KEPT_SIZE = 8 * 1024;

    private final int limit;
    private byte[] data = new byte[FIRST_SIZE];
    private int start;
    private int end;
    private int wanted = FIRST_SIZE;

    Buffer(int limit) {
        this.limit = limit;
    }

    int size() {
        return end - start;
    }

    boolean isFull() {
        return size() == limit;
    }

    byte at(int index) {
        return data[start + index];
    }

    /** From the next read on it takes up so many bytes at once, within its limit; 0: few, as at first. */
    void want(int bytes) {
        wanted = Math.max(FIRST_SIZE, Math.min(limit, bytes));
        if (size() == 0) {
            skip(0);
        }
    }

    /** Reads once, after what is there; the number of bytes read, or -1 at the end of the stream. */
    int fill(InputStream in) throws IOException {
        if (size() == 0 && data.length < wanted) {
            data = new byte[wanted];
            start = 0;
            end = 0;
        }
        if (end == data.length) {
            if (start > 0) {
                System.arraycopy(data, start, data, 0, end - start);
                end -= start;
                start = 0;
            } else if (data.length < limit) {
                data = Arrays.copyOf(data, Math.min(limit, data.length * 2));
            } else {
                throw new BadMessage(413, "message too large");
            }
        }
        int read = in.read(data, end, data.length - end);
        if (read > 0) {
            end += read;
        }
        return read;
    }

    /** Takes up to {@code most} bytes out; how many there were. */
    int take(byte[] to, int at, int most) {
        int count = Math.min(most, size());
        System.arraycopy(data, start, to, at, count);
        skip(count);
        return count;
    }

    /** Takes the first bytes out. */
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
            if (data.length > Math.max(KEPT_SIZE, wanted)) {
                data = new byte[FIRST_SIZE];
            }
        }
    }

    int capacity() {
        return data.length;
    }
}
