package dapplequay.benchlink;

/** Input that does not follow the wire; its message is the one plain line the operator gets to read. */
final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
