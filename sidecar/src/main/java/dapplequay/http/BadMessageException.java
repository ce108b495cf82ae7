package dapplequay.http;

import java.io.IOException;

/**
 * Thrown for a message that violates HTTP/1.1 or a limit of this implementation. {@code status} is the status code of
 * the response that a client gets for it.
 */
public final class BadMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    public final int status;

    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }
}
