package dapplequay.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * How many bytes a client's connection can hold that its client has written and this process has not read. The receive
 * buffer is set here; the client's send buffer is limited by the system's settings, as both are on one machine.
 */
final class SocketCapacity {
    /** The receive buffer to request for each client's connection, in bytes. */
    static final int RECEIVE_BUFFER_BYTES = 256 * 1024;
    /** The system reserves this multiple of the buffer that is requested. */
    private static final int RESERVED_MULTIPLE = 2;
    /** The limits of a send buffer: one that the system sizes (minimum, initial, maximum), and one that is requested. */
    private static final Path AUTOMATIC_SEND_LIMITS = Path.of("/proc/sys/net/ipv4/tcp_wmem");
    private static final Path REQUESTED_SEND_LIMIT = Path.of("/proc/sys/net/core/wmem_max");
    /** The limit of a send buffer, in bytes, where the system's settings can't be read. */
    private static final long UNKNOWN_SEND_LIMIT_BYTES = 8 << 20;

    /** The most unread bytes of one connection. */
    static final long MAX_UNREAD_BYTES = RESERVED_MULTIPLE * RECEIVE_BUFFER_BYTES
            + Math.max(lastNumber(AUTOMATIC_SEND_LIMITS), RESERVED_MULTIPLE * lastNumber(REQUESTED_SEND_LIMIT));

    private SocketCapacity() { }

    private static long lastNumber(Path file) {
        try {
            String[] numbers = Files.readString(file).strip().split("\\s+");
            return Arrays.stream(numbers).mapToLong(Long::parseLong).reduce((first, last) -> last).orElseThrow();
        } catch (IOException | RuntimeException e) {
            return UNKNOWN_SEND_LIMIT_BYTES;
        }
    }
}
