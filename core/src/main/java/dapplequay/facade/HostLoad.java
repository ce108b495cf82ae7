package dapplequay.facade;

/** A host's load as it came with an answer; NaN: not told. */
public record HostLoad(double queue, double inFlight) { }
