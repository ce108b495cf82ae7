package dapplequay.discovery;

import dapplequay.facade.ListUpdate;

/**
 * One response of discovery, completely read and validated, with the facts that decide how far it is trusted.
 *
 * @param revision   the version of the list, 0 or more
 * @param update     the full list, or a delta
 * @param request    the request that it answers
 * @param receivedUs when its last byte was read, microseconds of the caller's monotonic clock
 */
public record ListResponse(long revision, ListUpdate update, Request request, long receivedUs) {
    /** The value of {@link Request#after} that requests the full list. */
    public static final long FULL_LIST = -1;

    /**
     * A request to discovery.
     *
     * @param addressGeneration how often the address of discovery had changed when the request was made, see
     *                          {@link ServerRegistry#discoveryMoved}
     * @param after             the version after which changes are requested, or {@link #FULL_LIST}
     * @param startedUs         when the request was made, microseconds of the same clock
     */
    public record Request(int addressGeneration, long after, long startedUs) { }

    boolean isFull() {
        return update.kind() == ListUpdate.Kind.FULL;
    }
}
