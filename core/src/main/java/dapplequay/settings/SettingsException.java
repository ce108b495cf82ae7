package dapplequay.settings;

/** Settings that make no sense; its message is the one plain line the operator gets to read. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
