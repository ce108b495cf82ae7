package dapplequay.lab.http;

import java.io.IOException;

/** Bytes that are no HTTP/1.1 message. */
public final class MalformedHttpException extends IOException {
    private static final long serialVersionUID = 1;

    public MalformedHttpException(String problem) {
        super(problem);
    }
}
