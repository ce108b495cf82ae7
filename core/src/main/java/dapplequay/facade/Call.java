package dapplequay.facade;

/**
 * What the module is told of one request: class and tenant by name, as their places may change with the settings
 * ({@code tenant} null: none), the time the client still waits, the cost hint (0: none) and whether the client marked
 * a retry.
 */
public record Call(String serviceClass, String tenant, String key, long leftUs, long costHintUs,
                   boolean clientRetry) { }
