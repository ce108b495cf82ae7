package dapplequay.http;

import java.io.IOException;

/** A message that is not HTTP/1.1 as spoken here; {@code status} is what a client gets for it. */
public final class BadMessage extends IOException {
    private static final long serialVersionUID = 1L;

    public final int status;

    public BadMessage(int status, String what) {
        super(what);
        this.status = status;
    }
}
