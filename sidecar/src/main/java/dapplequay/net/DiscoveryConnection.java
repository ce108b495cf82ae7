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
 * One connection to discovery with a thread of its own, which makes one call at a time. How long a call may take its
 * owner decides: it goes on reading until it is closed, so that an answer is read also where nobody waits for it any
 * more.
 */
final class DiscoveryConnection implements Runnable {
    /** Hears how calls end, on the connection's thread. */
    interface Listener {
        /** The first byte of an answer has come. */
        void answerStarted(DiscoveryConnection connection);

        /** An answer was read whole at that time; {@code stays}: another call may follow on this connection. */
        void answerReceived(DiscoveryConnection connection, Endpoints.Update update, long receivedUs, boolean isReusable);

        /** The call failed, and with it the connection; {@code answered}: by an answer that can't be used. */
        void callFailed(DiscoveryConnection connection, Throwable failure, boolean gotAnswer);
    }

    private final InetSocketAddress address;
    private final Listener listener;
    private final LongSupplier clock;
    private final Socket socket = new Socket();
    private MessageReader reader;
    private boolean hasAnswerStarted;
    private boolean gotAnswer;
    private boolean isStarted;
    private String pendingQuery;
    private int connectTimeoutMs;
    private boolean isClosed;

    /** {@code now}: microseconds, never backwards. */
    DiscoveryConnection(InetSocketAddress address, Listener listener, LongSupplier clock) {
        this.address = address;
        this.listener = listener;
        this.clock = clock;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Makes a call, the one before being over; {@code itsQuery}: with its question mark, or empty. */
    synchronized void call(String callQuery, int timeoutMs) {
        pendingQuery = callQuery;
        connectTimeoutMs = timeoutMs;
        if (!isStarted) {
            isStarted = true;
            Thread thread = new Thread(this, "discovery " + Sockets.text(address));
            thread.setDaemon(true);
            thread.start();
        }
        notifyAll();
    }

    /** Nothing is read any more. */
    void close() {
        synchronized (this) {
            isClosed = true;
            notifyAll();
        }
        Sockets.close(socket);
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
            Sockets.close(socket);
            listener.callFailed(this, e, gotAnswer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Sockets.close(socket);
        }
    }

    private void connect() throws IOException {
        socket.connect(address, connectTimeoutMs);
        socket.setTcpNoDelay(true);
        reader = new MessageReader(new AnswerInput(socket.getInputStream()), MessageReader.MAX_LIST);
    }

    /** Null where the connection was closed. */
    private synchronized String awaitCall() throws InterruptedException {
        while (pendingQuery == null && !isClosed) {
            wait();
        }
        String callQuery = isClosed ? null : pendingQuery;
        pendingQuery = null;
        return callQuery;
    }

    private void makeCall(String callQuery) throws IOException {
        gotAnswer = false;
        hasAnswerStarted = false;
        String request = "GET /v1/servers" + callQuery + " HTTP/1.1\r\nHost: " + Sockets.text(address) + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.response();
        byte[] body = reader.responseBody(head);
        long receivedUs = clock.getAsLong();
        if (!head.start[1].equals("200")) {
            throw new IOException("discovery answered " + head.start[1]);
        }
        gotAnswer = true;
        Endpoints.Update update = Endpoints.read(body);
        // Bytes that nobody asked for would be read as the next answer.
        boolean isReusable = !head.closes(head.start[0]) && !MessageReader.lastsToTheEnd(head) && !reader.hasBytes();
        listener.answerReceived(this, update, receivedUs, isReusable);
        if (!isReusable) {
            close();
        }
    }

    /** Tells when the first byte of an answer comes. */
    private final class AnswerInput extends FilterInputStream {
        AnswerInput(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] into, int from, int length) throws IOException {
            int count = super.read(into, from, length);
            if (count > 0 && !hasAnswerStarted) {
                hasAnswerStarted = true;
                listener.answerStarted(DiscoveryConnection.this);
            }
            return count;
        }
    }
}
