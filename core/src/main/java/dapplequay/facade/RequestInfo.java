package dapplequay.facade;

/**
 * What the module is told of one request: class and tenant by name, as their places may change with the settings
 * ({@code tenant} null: none), what it is about ({@code key}, null: not said), the time the client still waits, the
 * cost hint (0: none), whether the client marked a retry, and whether its body is still coming and will be passed on
 * as it comes.
 */
public record RequestInfo(String serviceClass, String tenant, String key, long remainingUs, long costHintUs,
                   boolean clientRetry, boolean streamsBody) {
    /** A request that is held whole. */
    public RequestInfo(String serviceClass, String tenant, String key, long remainingUs, long costHintUs, boolean clientRetry) {
        this(serviceClass, tenant, key, remainingUs, costHintUs, clientRetry, false);
    }
}
