package dapplequay.lab.http;

import java.io.IOException;

/** Thrown for bytes that are not a valid HTTP/1.1 message. */
public final class MalformedHttpException extends IOException {
    private static final long serialVersionUID = 1;

    public MalformedHttpException(String problem) {
        super(problem);
    }
}
