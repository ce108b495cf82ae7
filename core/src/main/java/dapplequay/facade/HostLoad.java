package dapplequay.facade;

/** The load that a host reported with an answer; a value that is missing from the report is NaN. */
public record HostLoad(double queue, double inFlight) { }
