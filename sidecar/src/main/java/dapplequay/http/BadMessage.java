package dapplequay.net;

import java.io.IOException;

/** A message that is not HTTP/1.1 as spoken here; {@code status} is what a client gets for it. */
final class BadMessage extends IOException {
    private static final long serialVersionUID = 1L;

    final int status;

    BadMessage(int status, String what) {
        super(what);
        this.status = status;
    }
}
