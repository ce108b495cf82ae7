package dapplequay.lab.load;

/** One try of a client, with what came of it. Times are Unix microseconds; 0: did not happen. */
public final class ClientAttempt {
    /** What a client saw that is no status of an answer. */
    public static final String TIMEOUT = "timeout";
    public static final String RESET = "reset";
    public static final String REFUSED = "refused-connect";
    public static final String UNREADABLE = "unreadable";
    public static final String UNSENT = "unsent";

    public final Arrival arrival;
    public final int number;
    public final String call;
    public final long dueUs;
    public long sentUs;
    public long endUs;
    public long giveUpUs;
    /** Status of the answer, or one of the words above. */
    public String outcome = UNSENT;
    /** The body of the answer, where the host's word in it is to be checked; else null. */
    public String body;
    public boolean hasRetryAfter;
    public long retryAfterUs;

    ClientAttempt(Arrival arrival, int number, String call, long dueUs) {
        this.arrival = arrival;
        this.number = number;
        this.call = call;
        this.dueUs = dueUs;
    }

    public boolean isServed() {
        return outcome.equals("200");
    }

    public boolean isRefused() {
        return outcome.equals("429") || outcome.equals("503");
    }

    /** Whether an answer came whole, of whatever status. */
    public boolean isAnswered() {
        return Character.isDigit(outcome.charAt(0));
    }
}
