package dapplequay.lab.text;

/** A file that is no good: one line that names the file, the line and the key. */
public final class InvalidFileException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidFileException(String file, int line, String key, String problem) {
        super(file + ":" + line + ": " + (key.isEmpty() ? "" : key + " ") + problem);
    }
}
