package dapplequay.benchlink;

import java.util.List;

/** One line of input. */
record Batch(long turn, long nowUs, List<Event> events) { }
