package dapplequay.recovery;

/**
 * What is believed of lists with an older version than the one known. A discovery that has lost its count goes on with
 * lower versions, and its changes count as ever; one that is late, or confused, gives the same lists for a while and
 * would bring back what it was told to be gone. Nobody can tell the two apart at first, so that an older list is
 * believed step by step: what it says drains or is deleted at once, as that only ever takes a host out; what it does
 * not name any more once it has said so again for {@link #ENDS_US}; and what it brings back after {@link #ALL_US}.
 * Pure; times in microseconds of any clock that does not run backwards. Not thread-safe.
 */
public final class LostCount {
    /** For so long a host that is missing may be a mistake of who gave the list. */
    public static final long ENDS_US = 1_000_000;
    /** For so long what comes back is taken for one. */
    public static final long ALL_US = 30_000_000;
    /** Calls in a row, at the least, before what is missing counts. */
    private static final int FEWEST = 3;
    private static final long NONE = Long.MIN_VALUE;

    /** How much of an older list counts. */
    public enum Belief {
        /** The hosts that it says drain or are deleted. */
        NAMED,
        /** Also that hosts are gone which it, if whole, does not name. */
        ENDS,
        /** All of it, if it is whole. */
        ALL
    }

    private long sinceUs = NONE;
    private int lists;

    /** Another older list came now. */
    public Belief heard(long now) {
        sinceUs = sinceUs == NONE ? now : sinceUs;
        lists++;
        return now - sinceUs >= ALL_US ? Belief.ALL
                : now - sinceUs >= ENDS_US && lists >= FEWEST ? Belief.ENDS : Belief.NAMED;
    }

    /** The pause before it is asked again, for the whole list: none at first, as a mistake is over by then. */
    public long pauseUs(long now) {
        return lists < 2 ? 0 : lists < FEWEST ? Math.max(0, ENDS_US - (now - sinceUs)) : ENDS_US;
    }

    /** Whether the last list was an older one. */
    public boolean isLost() {
        return sinceUs != NONE;
    }

    /** A list came that was not older, or discovery is elsewhere. */
    public void forget() {
        sinceUs = NONE;
        lists = 0;
    }
}
