package dapplequay.facade;

/**
 * What the module is told of one request: class and tenant by their place in the settings ({@code tenant} -1:
 * none), the time the client still waits, the cost hint (0: none) and whether the client marked a retry.
 */
public record Call(int serviceClass, int tenant, String key, long leftUs, long costHintUs,
                   boolean clientRetry) { }
