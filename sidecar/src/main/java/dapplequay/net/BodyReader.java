package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import dapplequay.time.DeadlineQueue;
import java.io.IOException;
import java.util.Arrays;

/** Reads the bodies of one client's requests, one after the other, as long as the client keeps up a pace. */
final class BodyReader {
    /** What is held of a body that is known to be long: enough to begin anew where a host can't be reached. */
    private static final int HELD = 8 * 1024;
    private static final int FIRST_PIECE = 2 * 1024;
    /** A body has so long, us, and as long as it takes at so many bytes a second; waiting for it alone counts. */
    private static final long BODY_US = 1_500_000;
    private static final long BODY_RATE = 48_000;

    private final DeadlineQueue deadlines;
    private final Runnable tooLate;
    private volatile Progress.Pace pace;
    private Progress tooSlow;

    /** {@code tooLate}: called once the client has fallen behind. */
    BodyReader(DeadlineQueue deadlines, Runnable tooLate) {
        this.deadlines = deadlines;
        this.tooLate = tooLate;
    }

    /** All of a short body; of a long one as much as is held for another attempt. It grows as the body comes. */
    byte[] held(Body body) throws IOException {
        int most = body.length() < 0 ? MessageReader.SHORT_BODY_BYTES
                : body.length() > MessageReader.SHORT_BODY_BYTES ? HELD : (int) body.length();
        byte[] held = new byte[Math.min(most, FIRST_PIECE)];
        int size = 0;
        while (size < most && !body.isComplete()) {
            if (size == held.length) {
                held = Arrays.copyOf(held, Math.min(most, 2 * size));
            }
            size += Math.max(0, read(body, held, size, held.length - size));
        }
        return size == held.length ? held : Arrays.copyOf(held, size);
    }

    /** Up to so many of the next bytes. */
    int read(Body body, byte[] to, int at, int most) throws IOException {
        if (body.isFullyBuffered()) {
            return body.read(to, at, most);
        }
        if (pace == null) {
            pace = new Progress.Pace(deadlines, BODY_US, BODY_RATE);
            tooSlow = new Progress(deadlines, pace, tooLate);
        }
        pace.waiting();
        int read = body.read(to, at, most);
        pace.came(Math.max(0, read));
        return read;
    }

    /** Whether somebody waits for the client's next bytes; any thread may ask. */
    boolean isWaiting() {
        Progress.Pace now = pace;
        return now != null && now.isWaiting();
    }

    /** The body has ended, or nobody waits for it any more. */
    void over() {
        if (pace != null) {
            tooSlow.close();
            pace = null;
        }
    }
}
