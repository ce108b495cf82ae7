package dapplequay.lab.load;

/**
 * One request that is due, drawn ahead of the run.
 *
 * @param number   place in the schedule, from 0
 * @param dueUs    when it is due, from the start of the load
 * @param service  place of its class
 * @param tenant   place of its tenant, or -1
 * @param target   place of the sidecar that gets it
 * @param workUs   work that it costs a host
 * @param key      its order key, or null
 * @param about    what it is about, or null
 * @param call     id of the first try; later tries count on from it
 * @param patience share of the class's deadline that the client waits
 */
public record Arrival(int number, long dueUs, int service, int tenant, int target, long workUs, String key,
                      String about, long call, double patience) { }
