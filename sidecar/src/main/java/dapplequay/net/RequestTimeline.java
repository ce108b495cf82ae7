package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * When the parts of one request were read, what it waited for, and when its attempts began and ended, so that a late
 * response can be explained. Times are in microseconds of the sidecar's clock. Thread-safe.
 */
final class RequestTimeline {
    private static final int MAX_CLASS_NAME_LENGTH = 64;
    private static final String UNKNOWN = "-";

    /** What a request may wait for. Nothing waits for memory: where it is short, pieces of a body are smaller. */
    enum Wait {
        /** For a place among the client connections, in the accept queue. */
        PLACE,
        /** For the client's next bytes, with all that had arrived read. */
        CLIENT,
        /** For an upstream connection that settles or connects. */
        CONNECTION,
        /** For an upstream that reads the request or works on it. */
        SERVER,
        /** For more bytes to accumulate, or in favour of other requests. */
        PAUSE,
        /** For this process itself: all that is none of the others. */
        PROCESS;

        /** Returns the name as it is written in the log and in metrics. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** An attempt at this upstream, and how it ended. */
    private record EndedAttempt(Attempt.Times times, String host, AttemptEnd end) { }

    private final long firstByteUs;
    private final long acceptedUs;
    private final LongSupplier clientWaitUs;
    private final long clientWaitBeforeUs;
    private final Map<Wait, Long> waitedUs = new EnumMap<>(Wait.class);
    private final List<EndedAttempt> attempts = new ArrayList<>(2);
    private Head head;
    private Body body;
    private boolean isMemoryShort;
    private long headUs;
    private long lastByteUs;
    private long timeBeganUs;

    /**
     * Begins with a request's first byte.
     *
     * @param firstByteUs  when that byte may have arrived at the earliest
     * @param acceptedUs   when the request's connection was accepted
     * @param clientWaitUs returns for how long bytes of the client have been waited for, since any time before
     */
    RequestTimeline(long firstByteUs, long acceptedUs, LongSupplier clientWaitUs) {
        this.firstByteUs = firstByteUs;
        this.acceptedUs = acceptedUs;
        this.clientWaitUs = clientWaitUs;
        clientWaitBeforeUs = clientWaitUs.getAsLong();
        add(Wait.PLACE, acceptedUs - firstByteUs);
    }

    /** Records the head, which is read completely at {@code nowUs}; the request need not be valid. */
    synchronized void headRead(Head newHead, Body newBody, long nowUs) {
        head = newHead;
        body = newBody;
        headUs = nowUs;
    }

    /** Returns a field's value; empty if there is no head yet, or if the field is not there just once. */
    private String field(String name) {
        try {
            return head == null || head.get(name) == null ? "" : head.get(name);
        } catch (BadMessageException e) {
            return "";
        }
    }

    private long budgetUs() {
        try {
            return TimeUnit.MILLISECONDS.toMicros(Integer.parseUnsignedInt(field("X-Budget-Ms")));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private String className() {
        String[] path = head == null ? new String[0] : head.startLine[1].split("[/?]", 3);
        return path.length < 2 ? UNKNOWN : path[1].substring(0, Math.min(MAX_CLASS_NAME_LENGTH, path[1].length()));
    }

    private String bodyForm() {
        return body == null ? UNKNOWN : body.length() < 0 ? "chunked" : "length " + body.length();
    }

    /** Returns when the first byte may have arrived at the earliest. */
    long firstByteUs() {
        return firstByteUs;
    }

    /** Returns from when the request's time counts. */
    synchronized long timeBeganUs() {
        return timeBeganUs;
    }

    /** Records that the last byte has been read. */
    synchronized void lastByteRead(long nowUs) {
        lastByteUs = nowUs;
    }

    /** Records from when the request's time counts. */
    synchronized void timeBegan(long newTimeBeganUs) {
        timeBeganUs = newTimeBeganUs;
    }

    /** Records that the body was granted less memory than it asked for. */
    synchronized void memoryWasShort() {
        isMemoryShort = true;
    }

    /** Adds a time that the request has waited for this; nothing if it is negative. */
    synchronized void add(Wait wait, long durationUs) {
        if (durationUs > 0) {
            waitedUs.merge(wait, durationUs, Long::sum);
        }
    }

    /** Records an attempt that has ended. */
    synchronized void attemptEnded(Attempt.Times times, String host, AttemptEnd end) {
        long begunUs = times.begunUs() < 0 ? times.endedUs() : times.begunUs();
        add(Wait.CONNECTION, begunUs - times.decidedUs());
        if (times.writtenUs() >= 0) {
            add(Wait.SERVER, times.endedUs() - times.writtenUs());
        }
        attempts.add(new EndedAttempt(times, host, end));
    }

    private String describe(EndedAttempt attempt) {
        Attempt.Times times = attempt.times();
        return attempt.host() + ' ' + offsetMs(times.decidedUs())
                + (times.begunUs() < 0 ? " never sent" : " begun " + offsetMs(times.begunUs()))
                + (times.writtenUs() < 0 ? "" : " written " + offsetMs(times.writtenUs()))
                + " ended " + offsetMs(times.endedUs()) + ' ' + attempt.end();
    }

    /** Returns the request's id as its client wrote it, or "-" if it has none that is valid. */
    synchronized String callId() {
        String id = field("X-Call-Id");
        return id.matches("[0-9a-fA-F]{1,16}") ? id : UNKNOWN;
    }

    /** Returns whether a response that begins now does so after the first byte and the client's budget. */
    synchronized boolean isLateAt(long nowUs) {
        return nowUs - firstByteUs > budgetUs();
    }

    /** Returns what a response that begins now has waited for longest. */
    synchronized Wait cause(long nowUs) {
        Wait longest = Wait.PROCESS;
        for (Wait wait : Wait.values()) {
            longest = waitUs(wait, nowUs) > waitUs(longest, nowUs) ? wait : longest;
        }
        return longest;
    }

    private long waitUs(Wait wait, long nowUs) {
        long clientUs = clientWaitUs.getAsLong() - clientWaitBeforeUs;
        if (wait == Wait.CLIENT) {
            return clientUs;
        }
        if (wait != Wait.PROCESS) {
            return waitedUs.getOrDefault(wait, 0L);
        }
        long explainedUs = clientUs + waitedUs.values().stream().mapToLong(Long::longValue).sum();
        return Math.max(0, nowUs - firstByteUs - explainedUs);
    }

    private String offsetMs(long timeUs) {
        return timeUs == 0 ? UNKNOWN : String.valueOf((timeUs - firstByteUs) / 1_000);
    }

    /** Describes a response with this status that begins now, in one line; times are milliseconds after the start. */
    synchronized String describe(int status, long nowUs) {
        StringJoiner waits = new StringJoiner(", ");
        for (Wait wait : Wait.values()) {
            waits.add(wait.label() + ' ' + waitUs(wait, nowUs) / 1_000);
        }
        return "request " + callId() + " of class " + className() + ", body " + bodyForm() + ", status " + status
                + " after " + offsetMs(nowUs) + " ms of " + budgetUs() / 1_000 + ", cause " + cause(nowUs).label()
                + "; ms after its first byte: accepted " + offsetMs(acceptedUs) + ", head " + offsetMs(headUs)
                + ", last byte " + offsetMs(lastByteUs) + ", time began " + offsetMs(timeBeganUs) + "; waited for "
                + waits + "; memory " + (isMemoryShort ? "short" : "ample") + "; attempts "
                + attempts.stream().map(this::describe).toList();
    }
}
