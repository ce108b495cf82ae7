package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.http.BadMessage;
import dapplequay.http.Head;

/** Reads {@code X-Load-Report}. */
final class LoadReportParser {
    private LoadReportParser() { }

    /**
     * Null where there is no report. One that can't be read, or contradicts another, spoils no answer: it is
     * passed over.
     */
    static HostLoad parse(Head answer) {
        try {
            return parse(answer.get("X-Load-Report"));
        } catch (BadMessage e) {
            return null;
        }
    }

    /** Null where there is no report; what is no number counts as not told. */
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
