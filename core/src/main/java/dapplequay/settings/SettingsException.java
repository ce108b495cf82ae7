package dapplequay.settings;

/** Thrown for invalid settings. Its message is a single line that is shown to the operator. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
