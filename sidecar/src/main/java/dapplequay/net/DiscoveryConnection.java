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
    interface Owner {
        /** The first byte of an answer has come. */
        void answering(DiscoveryConnection connection);

        /** An answer was read whole at that time; {@code stays}: another call may follow on this connection. */
        void answered(DiscoveryConnection connection, Endpoints.EndpointUpdate update, long receivedUs, boolean stays);

        /** The call failed, and with it the connection; {@code answered}: by an answer that can't be used. */
        void failed(DiscoveryConnection connection, Throwable failure, boolean answered);
    }

    private final InetSocketAddress address;
    private final Owner owner;
    private final LongSupplier now;
    private final Socket socket = new Socket();
    private MessageReader reader;
    private boolean answerHasBegun;
    private boolean hasAnswered;
    private boolean isStarted;
    private String query;
    private int connectWithinMs;
    private boolean isClosed;

    /** {@code now}: microseconds, never backwards. */
    DiscoveryConnection(InetSocketAddress address, Owner owner, LongSupplier now) {
        this.address = address;
        this.owner = owner;
        this.now = now;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Makes a call, the one before being over; {@code itsQuery}: with its question mark, or empty. */
    synchronized void call(String itsQuery, int itsConnectWithinMs) {
        query = itsQuery;
        connectWithinMs = itsConnectWithinMs;
        if (!isStarted) {
            isStarted = true;
            Thread thread = new Thread(this, "discovery " + Sockets.hostAndPort(address));
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
        Sockets.closeQuietly(socket);
    }

    @Override
    public void run() {
        try {
            String next = awaitCall();
            connect();
            while (next != null) {
                exchange(next);
                next = awaitCall();
            }
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            Sockets.closeQuietly(socket);
            owner.failed(this, e, hasAnswered);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Sockets.closeQuietly(socket);
        }
    }

    private void connect() throws IOException {
        socket.connect(address, connectWithinMs);
        socket.setTcpNoDelay(true);
        reader = new MessageReader(new AnswerInput(socket.getInputStream()), MessageReader.MAX_SERVER_LIST_BYTES);
    }

    /** Null where the connection was closed. */
    private synchronized String awaitCall() throws InterruptedException {
        while (query == null && !isClosed) {
            wait();
        }
        String next = isClosed ? null : query;
        query = null;
        return next;
    }

    private void exchange(String itsQuery) throws IOException {
        hasAnswered = false;
        answerHasBegun = false;
        String request = "GET /v1/servers" + itsQuery + " HTTP/1.1\r\nHost: " + Sockets.hostAndPort(address)
                + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.readResponseHead();
        byte[] body = reader.readResponseBody(head);
        long receivedUs = now.getAsLong();
        if (!head.startLine[1].equals("200")) {
            throw new IOException("discovery answered " + head.startLine[1]);
        }
        hasAnswered = true;
        Endpoints.EndpointUpdate update = Endpoints.parse(body);
        // Bytes that nobody asked for would be read as the next answer.
        boolean stays = !head.closesConnection(head.startLine[0]) && !MessageReader.isCloseDelimited(head)
                && !reader.hasBufferedBytes();
        owner.answered(this, update, receivedUs, stays);
        if (!stays) {
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
            if (count > 0 && !answerHasBegun) {
                answerHasBegun = true;
                owner.answering(DiscoveryConnection.this);
            }
            return count;
        }
    }
}
