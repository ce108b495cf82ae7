package dapplequay.recovery;

/**
 * Whether a whole list that has lost many hosts at once is believed. One that has lost more than half of those that
 * served is asked for again first: discovery that has lost its state answers like one whose hosts are gone. What it
 * tells of drains counts meanwhile, and what is missing may still be used, within the grace that drains have. Pure;
 * times in microseconds of any clock that does not run backwards.
 */
public final class Doubt {
    /** Of the drain's grace: the pause before the second question, and the time for its answer. */
    private static final double PAUSE_SHARE = 0.25;
    private static final double LOST_SHARE = 0.5;
    /** Of fewer hosts than this none is doubted: one of two is no sign. */
    private static final int FEWEST = 3;

    private boolean doubting;

    /**
     * A whole list came, of a list with so many serving hosts before, of which so many serve no more and are not
     * named. False: it is to be asked for again after {@link #pauseUs}, and believed then.
     */
    public boolean believes(int served, int missing) {
        doubting = !doubting && served >= FEWEST && missing > served * LOST_SHARE;
        return !doubting;
    }

    /** True between a list that was doubted and the answer, or the failure, that ends it. */
    public boolean isDoubting() {
        return doubting;
    }

    /** No second answer came: the first one counts. */
    public void failed() {
        doubting = false;
    }

    /** Discovery is elsewhere: neither answer counts. */
    public void forget() {
        doubting = false;
    }

    /** The pause before the second question, and the longest wait for its answer. */
    public static long pauseUs(long drainGraceUs) {
        return (long) (drainGraceUs * PAUSE_SHARE);
    }
}
