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

    Buffer(int limit) {
        this.limit = limit;
    }

    int size() {
        return end - start;
    }

    byte at(int index) {
        return data[start + index];
    }

    /** Reads once, after what is there; the number of bytes read, or -1 at the end of the stream. */
    int fill(InputStream in) throws IOException {
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
            if (data.length > KEPT_SIZE) {
                data = new byte[FIRST_SIZE];
            }
        }
    }

    int capacity() {
        return data.length;
    }
}
