package dapplequay.net;

import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import dapplequay.time.Deadlines;
import java.io.IOException;
import java.util.Arrays;

/** Reads the bodies of one client's requests, one after the other, as long as the client keeps up a pace. */
final class RequestBodyReader {
    /** What is held of a body that is known to be long: enough to begin anew where a host can't be reached. */
    private static final int REPLAYABLE_BYTES = 8 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 2 * 1024;
    /** A body has so long, us, and as long as it takes at so many bytes a second; waiting for it alone counts. */
    private static final long BASE_ALLOWANCE_US = 1_500_000;
    private static final long MIN_BYTES_PER_S = 48_000;

    private final Deadlines deadlines;
    private final Runnable onTooSlow;
    private volatile ProgressWatchdog.MinimumRate rate;
    private ProgressWatchdog watchdog;

    /** {@code tooLate}: called once the client has fallen behind. */
    RequestBodyReader(Deadlines deadlines, Runnable onTooSlow) {
        this.deadlines = deadlines;
        this.onTooSlow = onTooSlow;
    }

    /** All of a short body; of a long one as much as is held for another attempt. It grows as the body comes. */
    byte[] readReplayable(Body body) throws IOException {
        int maxBytes = body.length() < 0 ? MessageReader.MAX_BODY
                : body.length() > MessageReader.MAX_BODY ? REPLAYABLE_BYTES : (int) body.length();
        byte[] buffer = new byte[Math.min(maxBytes, INITIAL_BUFFER_BYTES)];
        int size = 0;
        while (size < maxBytes && !body.isWhole()) {
            if (size == buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.min(maxBytes, 2 * size));
            }
            size += Math.max(0, read(body, buffer, size, buffer.length - size));
        }
        return size == buffer.length ? buffer : Arrays.copyOf(buffer, size);
    }

    /** Up to so many of the next bytes. */
    int read(Body body, byte[] to, int offset, int maxBytes) throws IOException {
        if (body.isBuffered()) {
            return body.read(to, offset, maxBytes);
        }
        if (rate == null) {
            rate = new ProgressWatchdog.MinimumRate(deadlines, BASE_ALLOWANCE_US, MIN_BYTES_PER_S);
            watchdog = new ProgressWatchdog(deadlines, rate, onTooSlow);
        }
        rate.waitStarted();
        int read = body.read(to, offset, maxBytes);
        rate.waitEnded(Math.max(0, read));
        return read;
    }

    /** Whether somebody waits for the client's next bytes; any thread may ask. */
    boolean isWaiting() {
        ProgressWatchdog.MinimumRate now = rate;
        return now != null && now.isWaiting();
    }

    /** The body has ended, or nobody waits for it any more. */
    void finish() {
        if (rate != null) {
            watchdog.close();
            rate = null;
        }
    }
}
