package dapplequay.lab.load;

/**
 * One scheduled request, drawn before the run starts. Times are in microseconds.
 *
 * @param index          position in the schedule, from 0
 * @param dueUs          when it is due, counted from the start of the load
 * @param serviceIndex   index of its service class in the profile
 * @param tenantIndex    index of its tenant in the profile, or -1
 * @param targetIndex    index of the sidecar that receives it
 * @param workUs         work that it costs a host, in microseconds of a core of speed 1
 * @param idempotencyKey its idempotency key, or null
 * @param objectId       the object that it is about, or null
 * @param firstCallId    call id of the first try; later tries add 1 each
 * @param patienceShare  share of the class's deadline that the client waits, up to 1
 */
public record Arrival(int index, long dueUs, int serviceIndex, int tenantIndex, int targetIndex, long workUs,
                      String idempotencyKey, String objectId, long firstCallId, double patienceShare) { }
