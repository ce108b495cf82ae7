package dapplequay.facade;

/**
 * What the balancer needs to know about one request.
 *
 * @param serviceClass the name of its service class; not an index, as indexes may change with the settings
 * @param tenant       the name of its tenant, or null
 * @param key          the object that it concerns, or null if unknown
 * @param remainingUs  how long the client still waits, microseconds
 * @param costHintUs   the client's estimate of the work, microseconds; 0 if there is none
 * @param clientRetry  true if the client marked the request as a retry
 * @param streamsBody  true if the body has not arrived completely and is forwarded while it is received
 */
public record RequestInfo(String serviceClass, String tenant, String key, long remainingUs, long costHintUs,
                          boolean clientRetry, boolean streamsBody) {
    /** Creates the description of a request whose body is completely buffered. */
    public RequestInfo(String serviceClass, String tenant, String key, long remainingUs, long costHintUs,
                       boolean clientRetry) {
        this(serviceClass, tenant, key, remainingUs, costHintUs, clientRetry, false);
    }
}
