package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.http.BadMessageException;
import dapplequay.http.Head;

/** Parses the header {@code X-Load-Report}. */
final class LoadReportParser {
    private LoadReportParser() { }

    /**
     * Returns null if there is no report. A report that can't be parsed, or contradicts another, is ignored: the
     * response stays valid.
     */
    static HostLoad parse(Head answer) {
        try {
            return parse(answer.get("X-Load-Report"));
        } catch (BadMessageException e) {
            return null;
        }
    }

    /** Returns null for null; a value that is missing or no number becomes NaN. */
    static HostLoad parse(String text) {
        if (text == null) {
            return null;
        }
        double queue = Double.NaN;
        double inFlight = Double.NaN;
        for (String pair : text.split(",")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2 && parts[1].strip().matches("[0-9]{1,12}(\\.[0-9]{1,12})?")) {
                double value = Double.parseDouble(parts[1].strip());
                switch (parts[0].strip()) {
                    case "queue" -> queue = value;
                    case "inflight" -> inFlight = value;
                    default -> { }
                }
            }
        }
        return new HostLoad(queue, inFlight);
    }
}
