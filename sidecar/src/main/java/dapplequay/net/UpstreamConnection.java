package dapplequay.net;

import dapplequay.facade.AttemptEnd;
import dapplequay.facade.HostLoad;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.time.DeadlineQueue;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection to an upstream, with the thread that reads from it. It carries one attempt at a time; between attempts
 * the thread stays blocked in its read, and so notices at once when the host closes the connection.
 */
final class UpstreamConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(UpstreamConnection.class.getName());

    /** How long a response waits for its request's write to end: longer, and the host has not read the request. */
    private static final long WRITE_END_WAIT_MS = 100;
    /** How long before the end of the attempt's time the relay of a response of unknown length begins at the latest. */
    private static final long RELAY_MARGIN_US = 20_000;

    final Endpoints.Endpoint endpoint;
    private final UpstreamPool pool;
    private final Socket socket;
    private volatile ServingThread servingThread;
    private volatile boolean isConnected;
    /** The upstream's uid for a spare connection, which is opened without an attempt; else null. */
    private final String spareForHost;
    /** Guarded by this connection's lock, as are {@code handedOver}, {@code attemptBegun} and {@code unusable}. */
    private Attempt attempt;
    /** The attempt was assigned by another thread, which is about to write it and owns it until then. */
    private boolean handedOver;
    /** The attempt's first byte has been sent or is about to be: what is read from now on may be its response. */
    private boolean attemptBegun;
    /** Bytes or the end of the stream arrived while no attempt had begun: no further attempt may begin here. */
    private boolean unusable;
    private DeadlineQueue.Deadline idleTimeout;
    private long idleSinceUs;
    /** Guarded by the pool's lock. */
    private Attempt reservedFor;

    /** Opened for an attempt. For a long request, the client's thread serves it until the request is written. */
    UpstreamConnection(UpstreamPool pool, Endpoints.Endpoint endpoint, Attempt first) {
        servingThread = first.isUploading() ? ServingThread.CLIENT_CONNECTING : ServingThread.OWN;
        this.pool = pool;
        this.endpoint = endpoint;
        socket = pool.newSocket();
        attempt = first;
        spareForHost = null;
    }

    /** A spare connection, opened before an attempt needs it; {@code host} is the upstream's uid in the list. */
    UpstreamConnection(UpstreamPool pool, Endpoints.Endpoint endpoint, String host) {
        servingThread = ServingThread.OWN;
        this.pool = pool;
        this.endpoint = endpoint;
        socket = pool.newSocket();
        spareForHost = host;
    }

    /**
     * Assigns an attempt as the connection is taken from the idle ones. The caller owns the attempt until
     * {@link #write} accepts it.
     */
    synchronized void assign(Attempt next) {
        attempt = next;
        handedOver = true;
    }

    void setIdle(long sinceUs, DeadlineQueue.Deadline timeout) {
        idleSinceUs = sinceUs;
        idleTimeout = timeout;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Reserves the connection, while it settles, for one attempt; null: for none, so that any may take it then. */
    void reserveFor(Attempt next) {
        reservedFor = next;
    }

    Attempt reservedFor() {
        return reservedFor;
    }

    DeadlineQueue.Deadline idleTimeout() {
        return idleTimeout;
    }

    void close() {
        Sockets.closeQuietly(socket);
    }

    /** Result of {@link #write}. */
    enum WriteResult {
        /** The connection has the attempt, and its thread reports the attempt's end, even if the write failed. */
        ACCEPTED,
        /** The attempt may not be sent any more and has ended as never sent. The connection must be closed. */
        STOPPED,
        /** The host has closed the connection or sent unrequested bytes: the attempt may use another connection. */
        UNUSABLE
    }

    /** Writes the request, or the start of a long one, if it may still be sent and the connection is usable. */
    WriteResult write(Attempt current) {
        ClientRequest request = current.exchange.request;
        byte[] message = request.toBytes(endpoint.address(), current.expiresAtUs() - pool.now());
        current.exchange.checkClientPresence();
        long checkedUs = pool.now();
        current.exchange.attemptBegins();
        if (!pool.mayBegin(current, endpoint)) {
            return WriteResult.STOPPED;
        }
        if (!tryBegin()) {
            return WriteResult.UNUSABLE;
        }
        boolean whole = false;
        boolean awaitsBody = false;
        current.begins(checkedUs);
        try {
            if (request.isStreamed()) {
                SlowPeerWriter.limitSendBuffer(socket, request.remainingBody());
            }
            socket.getOutputStream().write(message);
            LOG.fine(() -> "wrote " + current.exchange.id + " to " + endpoint.address() + ", "
                    + (pool.now() - checkedUs) + " us after the check for its client");
            awaitsBody = request.isStreamed();
            whole = !awaitsBody;
        } catch (IOException e) {
            LOG.log(Level.FINE, "attempt could not be written to {0}: {1}", new Object[] {endpoint.address(), e});
        } finally {
            if (awaitsBody) {
                current.markReadyForBody();
            } else {
                writeEnded(current, whole);
            }
        }
        return WriteResult.ACCEPTED;
    }

    /**
     * Called right before the attempt's first byte; returns whether the attempt has begun. It must not begin if any
     * input arrived before: bytes still in the socket's receive buffer, or an end of stream that the reading thread has
     * just seen. The lock orders this against {@link #inputReceived}: only input after the beginning counts as the
     * response.
     */
    private synchronized boolean tryBegin() {
        try {
            unusable |= socket.getInputStream().available() > 0;
        } catch (IOException e) {
            unusable = true;
        }
        handedOver &= unusable;
        attemptBegun = !unusable;
        return attemptBegun;
    }

    /** Called when a read has returned bytes, the end of the stream or an error. */
    private synchronized void inputReceived() {
        unusable |= !attemptBegun;
    }

    /** Returns the attempt that has begun, or null. */
    private synchronized Attempt begunAttempt() {
        return attemptBegun ? attempt : null;
    }

    /** Detaches the attempt, which has ended; the rest of its response may still arrive. */
    private synchronized void detachAttempt() {
        attempt = null;
    }

    /** Called when the response has been read completely: any further input is unrequested. */
    private synchronized void responseRead() {
        attemptBegun = false;
    }

    /** Reports input at once, before another thread can take the connection for an idle one. */
    private final class InputObserver extends FilterInputStream {
        InputObserver(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] to, int at, int most) throws IOException {
            try {
                return in.read(to, at, most);
            } finally {
                inputReceived();
            }
        }
    }

    private void writeEnded(Attempt current, boolean whole) {
        if (whole) {
            pool.counts().relayed();
        }
        current.writeEnded(whole, pool.now());
        if (!whole) {
            close();
        }
    }

    /**
     * Writes the next piece of a long request, the last one with the end of the body. Returns false if the attempt has
     * ended or the write failed. {@code onProgress} is called whenever the host has taken a part of the piece.
     */
    boolean writePiece(Attempt current, byte[] piece, ChunkedFraming.Span span, boolean last, Runnable onProgress) {
        boolean written = false;
        try {
            if (!current.hasEnded()) {
                SlowPeerWriter.write(socket, piece, span.from(), span.length(), onProgress);
                written = true;
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "attempt could not be written to {0}: {1}", new Object[] {endpoint.address(), e});
        } finally {
            if (last || !written) {
                writeEnded(current, last && written);
            }
        }
        return written;
    }

    /**
     * Connects on the client's thread and writes the start of its long request, unless that is done. The client's
     * thread goes on with the rest: a separate thread would only wait for it. Returns false if the attempt has ended,
     * which is reported.
     */
    boolean connectForUpload() {
        if (servingThread != ServingThread.CLIENT_CONNECTING) {
            return true;
        }
        boolean isReady = false;
        try {
            isReady = connect();
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection to {0} ended: {1}", new Object[] {endpoint.address(), e});
        }
        servingThread = isReady ? ServingThread.CLIENT_WRITING : ServingThread.NONE;
        if (!isReady) {
            close();
            pool.connectionEnded(this);
        }
        return isReady;
    }

    /** Called when the client's thread is done: the response is read on a new thread, or the connection is closed. */
    void uploadEnded(boolean whole) {
        if (servingThread != ServingThread.CLIENT_CONNECTING && servingThread != ServingThread.CLIENT_WRITING) {
            return;
        }
        servingThread = whole ? ServingThread.OWN : ServingThread.NONE;
        if (whole) {
            pool.start(this);
        } else {
            close();
            pool.connectionEnded(this);
        }
    }

    /** The thread that serves the connection: its own, or that of the client whose long request is written. */
    private enum ServingThread { OWN, CLIENT_CONNECTING, CLIENT_WRITING, NONE }

    @Override
    public void run() {
        try {
            if (isConnected || (spareForHost == null ? connect() : connectSpare())) {
                MessageReader reader = new MessageReader(new InputObserver(socket.getInputStream()),
                        MessageReader.MAX_BODY_BYTES);
                while (reader.awaitData() && readResponse(reader)) { }
            }
        } catch (IOException | OutOfMemoryError e) {
            LOG.log(Level.FINE, "connection to {0} ended: {1}", new Object[] {endpoint.address(), e});
        } finally {
            close();
            pool.connectionEnded(this);
        }
    }

    private boolean connect() throws IOException {
        Attempt first = unreportedAttempt();
        WriteResult result = WriteResult.UNUSABLE;
        try {
            if (first.hasEnded()) {
                return false;
            }
            // Don't wait beyond the time by which the attempt must begin: nothing of it could be sent then.
            long waitUs = Math.min(pool.connectTimeoutUs(),
                    Math.min(first.expiresAtUs(), first.decision.beginByUs()) - pool.now());
            socket.setTcpNoDelay(true);
            // Uses the socket's timeout: closing a connecting socket does not wake its thread on every platform.
            socket.connect(endpoint.address(), (int) Math.max(1, (waitUs + 999) / 1000));
            result = write(first);
        } catch (SocketTimeoutException e) {
            if (pool.now() >= first.decision.beginByUs()) {
                first.tryEnd(AttemptEnd.NOT_SENT);        // shortened by the sidecar: no fault of the host
            }
            throw e;
        } finally {
            if (result != WriteResult.ACCEPTED) {
                first.writeEnded(false, pool.now());
            }
        }
        isConnected = result == WriteResult.ACCEPTED;
        return isConnected;
    }

    /** Called when no thread could be started for the connection. */
    void notStarted() {
        if (spareForHost != null) {
            pool.spareOpened(this, spareForHost, false);
        }
    }

    private boolean connectSpare() throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(endpoint.address(), (int) Math.max(1, pool.connectTimeoutUs() / 1000));
            isConnected = true;
        } finally {
            isConnected = pool.spareOpened(this, spareForHost, isConnected);
        }
        return isConnected;
    }

    /** Reads one response; returns false if the connection can't be used again. */
    private boolean readResponse(MessageReader reader) throws IOException {
        Attempt current = begunAttempt();
        if (current == null) {
            return false;           // unrequested bytes
        }
        try {
            Head head = reader.readResponseHead();
            current.headReceived(pool.now());
            AttemptEnd end = endFor(head);
            Body body = reader.responseBody(head);
            if (end == AttemptEnd.SERVED && current.isUploading()) {
                throw new BadMessageException(502, "200 before the request was written completely");
            }
            ResponseStart start = ResponseStart.read(body, socket, pool::now, BodyBuffers.MEMORY,
                    end == AttemptEnd.SERVED, current.expiresAtUs() - RELAY_MARGIN_US);
            try {
                return passOnResponse(current, reader, head, body, end, start);
            } finally {
                start.release();
            }
        } catch (BadMessageException e) {
            LOG.log(Level.WARNING, "invalid response from {0}: {1}; request {2}",
                    new Object[] {endpoint.address(), e.getMessage(), current.exchange.timeline.callId()});
            current.tryEnd(AttemptEnd.ERROR);
            return false;
        }
    }

    /** Ends the attempt with its response, of which the start is read; returns false if the connection is used up. */
    private boolean passOnResponse(Attempt current, MessageReader reader, Head head, Body body, AttemptEnd end,
            ResponseStart start) throws IOException {
        if (end == AttemptEnd.SERVED && body.framing() == Body.Framing.CLOSE_DELIMITED && !current.awaitWritten()) {
            throw new EOFException("connection ended while the request was being written");
        }
        HostLoad load = LoadReportParser.parse(head);
        boolean isRelayed = end == AttemptEnd.SERVED && !body.isComplete();
        if (isRelayed) {
            socket.setSoTimeout(ResponseRelay.CHECK_INTERVAL_MS);
        }
        if (!current.tryEnd(end)) {
            return false;       // aborted meanwhile; connectionEnded() reports it
        }
        detachAttempt();
        pool.responseReceived(current);
        if (isRelayed) {
            boolean whole = pool.relay(current, load, head, body, start);
            boolean reusable = whole && staysOpen(head, body, reader) && isWritten(current);
            if (reusable) {
                socket.setSoTimeout(0);
                responseRead();
                pool.returnConnection(this, current.decision.host());
            }
            return reusable;
        }
        boolean reusable = body.isComplete() && staysOpen(head, body, reader) && isWritten(current);
        if (reusable) {
            responseRead();
            pool.returnConnection(this, current.decision.host());
        } else {
            close();
        }
        pool.reportResponse(current, end, load, head, start.bytes());
        return reusable;
    }

    /**
     * Returns whether the attempt has been written completely, so that its response was not an early one. The response
     * may arrive before the writing thread has recorded the end of its write, so this waits for a moment.
     */
    private static boolean isWritten(Attempt current) {
        return !current.isUploading() && current.awaitWritten(WRITE_END_WAIT_MS);
    }

    private static boolean staysOpen(Head head, Body body, MessageReader reader) {
        return !head.closesConnection(head.startLine[0]) && body.framing() != Body.Framing.CLOSE_DELIMITED
                && !reader.hasBufferedBytes();
    }

    private static AttemptEnd endFor(Head head) throws BadMessageException {
        String status = head.startLine[1];
        if (status.equals("200")) {
            return AttemptEnd.SERVED;
        }
        if (status.startsWith("4")) {
            return AttemptEnd.NOT_ACCEPTED;
        }
        boolean turnedAway = (status.equals("503") || status.equals("504")) && "1".equals(head.get("X-Rejected"));
        return turnedAway ? AttemptEnd.TURNED_AWAY : AttemptEnd.ERROR;
    }

    /** Returns the attempt whose end this connection must report, or null; one just assigned is still its writer's. */
    synchronized Attempt unreportedAttempt() {
        return handedOver ? null : attempt;
    }

    /** Called when the connection ends: no attempt can begin any more. Returns as {@link #unreportedAttempt}. */
    synchronized Attempt unreportedAttemptAtEnd() {
        unusable |= !attemptBegun;
        return unreportedAttempt();
    }
}
