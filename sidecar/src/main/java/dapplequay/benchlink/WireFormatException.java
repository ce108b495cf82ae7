package dapplequay.benchlink;

/** Thrown for input that violates the simulator's format; the message is the single line that the operator reads. */
final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
