package dapplequay.benchlink;

import java.util.List;

/** One line of input: the events of one turn, all at the same time. */
record Batch(long turn, long nowUs, List<Event> events) { }
