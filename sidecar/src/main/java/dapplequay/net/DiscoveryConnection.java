package dapplequay.net;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/**
 * One connection to discovery, with its own thread; makes one call at a time. Its owner decides how long a call may
 * take: the connection keeps reading until it is closed, so that a response is read even if nobody waits for it any
 * more.
 */
final class DiscoveryConnection implements Runnable {
    /** Is notified about calls, on the connection's thread. */
    interface Listener {
        /** The first byte of a response has arrived. */
        void responseStarted(DiscoveryConnection connection);

        /**
         * A whole response was read at {@code receivedUs}; {@code isReusable}: another call may follow on this
         * connection.
         */
        void responseReceived(DiscoveryConnection connection, Endpoints.EndpointUpdate update, long receivedUs,
                boolean isReusable);

        /** The call failed, and the connection with it; {@code gotResponse}: discovery sent an unusable response. */
        void callFailed(DiscoveryConnection connection, Throwable failure, boolean gotResponse);
    }

    private final InetSocketAddress address;
    private final Listener listener;
    private final LongSupplier clock;
    private final Socket socket = new Socket();
    private MessageReader reader;
    private boolean hasResponseStarted;
    private boolean gotResponse;
    private boolean isStarted;
    private String pendingQuery;
    private int connectTimeoutMs;
    private boolean isClosed;

    /** {@code clock}: monotonic, in microseconds. */
    DiscoveryConnection(InetSocketAddress address, Listener listener, LongSupplier clock) {
        this.address = address;
        this.listener = listener;
        this.clock = clock;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Makes a call, once the previous one has ended. {@code callQuery}: with its question mark, or empty; {@code
     * timeoutMs}: for connecting, in milliseconds.
     */
    synchronized void call(String callQuery, int timeoutMs) {
        pendingQuery = callQuery;
        connectTimeoutMs = timeoutMs;
        if (!isStarted) {
            isStarted = true;
            Thread thread = new Thread(this, "discovery " + Sockets.hostAndPort(address));
            thread.setDaemon(true);
            thread.start();
        }
        notifyAll();
    }

    /** Closes the connection; nothing more is read. */
    void close() {
        synchronized (this) {
            isClosed = true;
            notifyAll();
        }
        Sockets.closeQuietly(socket);
    }

    @Override
    public void run() {
        try {
            String callQuery = awaitCall();
            connect();
            while (callQuery != null) {
                makeCall(callQuery);
                callQuery = awaitCall();
            }
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            Sockets.closeQuietly(socket);
            listener.callFailed(this, e, gotResponse);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Sockets.closeQuietly(socket);
        }
    }

    private void connect() throws IOException {
        socket.connect(address, connectTimeoutMs);
        socket.setTcpNoDelay(true);
        reader = new MessageReader(new ResponseInput(socket.getInputStream()), MessageReader.MAX_SERVER_LIST_BYTES);
    }

    /** Waits for the next call and returns its query; null if the connection was closed. */
    private synchronized String awaitCall() throws InterruptedException {
        while (pendingQuery == null && !isClosed) {
            wait();
        }
        String callQuery = isClosed ? null : pendingQuery;
        pendingQuery = null;
        return callQuery;
    }

    private void makeCall(String callQuery) throws IOException {
        gotResponse = false;
        hasResponseStarted = false;
        String request = "GET /v1/servers" + callQuery + " HTTP/1.1\r\nHost: " + Sockets.hostAndPort(address)
                + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.readResponseHead();
        byte[] body = reader.readResponseBody(head);
        long receivedUs = clock.getAsLong();
        if (!head.startLine[1].equals("200")) {
            throw new IOException("discovery answered " + head.startLine[1]);
        }
        gotResponse = true;
        Endpoints.EndpointUpdate update = Endpoints.parse(body);
        // Unexpected bytes would be read as the next response.
        boolean isReusable = !head.closesConnection(head.startLine[0]) && !MessageReader.isCloseDelimited(head)
                && !reader.hasBufferedBytes();
        listener.responseReceived(this, update, receivedUs, isReusable);
        if (!isReusable) {
            close();
        }
    }

    /** Reports when the first byte of a response arrives. */
    private final class ResponseInput extends FilterInputStream {
        ResponseInput(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] into, int from, int length) throws IOException {
            int count = super.read(into, from, length);
            if (count > 0 && !hasResponseStarted) {
                hasResponseStarted = true;
                listener.responseStarted(DiscoveryConnection.this);
            }
            return count;
        }
    }
}
