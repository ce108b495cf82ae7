package dapplequay.http;

import java.io.IOException;

/** A message that is not HTTP/1.1 as spoken here; {@code status} is what a client gets for it. */
public final class BadMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    public final int status;

    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }
}
