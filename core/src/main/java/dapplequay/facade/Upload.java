package dapplequay.facade;

/** How far the body of a request is that is passed on while it comes. */
public enum Upload {
    /** It is held whole, like any short one. */
    NONE,
    /** The rest is still to come; what went out so far is held. */
    COMING,
    /** More went out than is held. */
    PASSED_ON
}
