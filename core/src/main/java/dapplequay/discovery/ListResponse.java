package dapplequay.discovery;

import dapplequay.facade.ListUpdate;

/**
 * One answer of discovery's, read and checked as a whole, with what decides how far it is trusted.
 *
 * @param revision   the version that it is of, 0 or more
 * @param update    the whole list, or changes
 * @param request       the call that it answers
 * @param receivedUs when its last byte was read, microseconds of the caller's monotonic clock
 */
public record ListResponse(long revision, ListUpdate update, Request request, long receivedUs) {
    /** What a call asks after that asks for the whole list. */
    public static final long FULL_LIST = -1;

    /**
     * A call to discovery.
     *
     * @param addressGeneration how often discovery had moved when it was made, see {@link ServerRegistry#moved}
     * @param after      the version after which changes were asked for, or {@link #FULL_LIST}
     * @param startedUs    when it was made, microseconds of the same clock
     */
    public record Request(int addressGeneration, long after, long startedUs) { }

    boolean isFull() {
        return update.kind() == ListUpdate.Kind.FULL;
    }
}
