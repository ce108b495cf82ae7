package dapplequay.lab.text;

/** Thrown for an invalid file; the message names the file, the line and the key. */
public final class InvalidFileException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidFileException(String file, int line, String key, String problem) {
        super(file + ":" + line + ": " + (key.isEmpty() ? "" : key + " ") + problem);
    }
}
