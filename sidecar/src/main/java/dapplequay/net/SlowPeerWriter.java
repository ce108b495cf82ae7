package dapplequay.net;

import dapplequay.http.Body;
import java.io.IOException;
import java.net.Socket;

/**
 * Writes the pieces of a long body so that the progress of a peer that reads slowly shows. A write returns only once
 * all of its bytes are in the socket's send buffer, and where that was full the system wakes the writer only once about
 * a third of it is free. The send buffer grows to some megabytes by itself, of which a slow peer may take a third in a
 * minute. So the buffer is limited, and a piece is written in parts, each of which counts as progress.
 */
final class SlowPeerWriter {
    /** Size of the send buffer; the system doubles it, for its own overhead. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;
    /**
     * A body of at most this length is left to the system's buffer, so that its sender is free early: even a third of
     * it is soon read.
     */
    private static final int MAX_BUFFERED_BYTES = 2 << 20;
    private static final int PART_BYTES = 32 * 1024;

    private SlowPeerWriter() { }

    /** Limits the send buffer of a socket that a long body is about to be written to, if the body exceeds it by far. */
    static void limitSendBuffer(Socket socket, Body body) throws IOException {
        if (body.length() < 0 || body.length() > MAX_BUFFERED_BYTES) {
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
        }
    }

    /** Writes {@code length} bytes from {@code offset} on, and reports progress after each part. */
    static void write(Socket socket, byte[] bytes, int offset, int length, Runnable onProgress) throws IOException {
        int end = offset + length;
        for (int from = offset; from < end; from += PART_BYTES) {
            socket.getOutputStream().write(bytes, from, Math.min(PART_BYTES, end - from));
            onProgress.run();
        }
    }
}
