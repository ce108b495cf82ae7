package dapplequay.facade;

/** Whether the body of a request is still available for another attempt. */
public enum RequestBodyState {
    /** The body is completely buffered, as short ones are. */
    BUFFERED,
    /** The body is forwarded while it is received; all that was sent so far is still buffered. */
    STREAMING_REPLAYABLE,
    /** The body is forwarded while it is received; some of what was sent is no longer buffered. */
    STREAMING_UNREPLAYABLE
}
