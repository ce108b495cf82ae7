package dapplequay.facade;

/** How far the body of a request is that is passed on while it comes. */
public enum RequestBodyState {
    /** It is held whole, like any short one. */
    BUFFERED,
    /** The rest is still to come; what went out so far is held. */
    STREAMING_REPLAYABLE,
    /** More went out than is held. */
    STREAMING_UNREPLAYABLE
}
