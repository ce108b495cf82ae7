package dapplequay.lab.load;

/** One try of a client and its outcome. Times are Unix microseconds; 0 means that it did not happen. */
public final class ClientAttempt {
    /** The constants below are the outcomes other than the status of an answer. */
    public static final String TIMEOUT = "timeout";
    public static final String RESET = "reset";
    public static final String REFUSED = "refused-connect";
    public static final String UNREADABLE = "unreadable";
    public static final String UNSENT = "unsent";

    public final Arrival arrival;
    public final int attemptIndex;
    public final String callId;
    public final long dueUs;
    public long sentUs;
    public long endUs;
    public long giveUpUs;
    /** Status code of the answer, or one of the constants above. */
    public String outcome = UNSENT;
    /** Body of the answer, kept if the profile has service classes; else null. */
    public String body;
    public boolean hasRetryAfter;
    public long retryAfterUs;

    ClientAttempt(Arrival arrival, int attemptIndex, String callId, long dueUs) {
        this.arrival = arrival;
        this.attemptIndex = attemptIndex;
        this.callId = callId;
        this.dueUs = dueUs;
    }

    public boolean isServed() {
        return outcome.equals("200");
    }

    public boolean isRefused() {
        return outcome.equals("429") || outcome.equals("503");
    }

    /** True if a complete answer arrived, with any status. */
    public boolean isAnswered() {
        return Character.isDigit(outcome.charAt(0));
    }
}
