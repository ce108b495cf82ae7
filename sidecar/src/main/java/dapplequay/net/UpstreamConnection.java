package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.facade.AttemptEnd;
import dapplequay.http.BadMessage;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.time.Deadlines;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection to an upstream, with the thread that reads it. One attempt at a time; between attempts the thread
 * stays in its read, and so sees at once when the host closes.
 */
final class UpstreamConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(UpstreamConnection.class.getName());

    private static final int READ_BYTES = 8 * 1024;
    /** So long an answer of unknown length may take before it is passed on as it comes. */
    private static final long BUFFER_RESPONSE_US = 100_000;

    final Endpoints.Endpoint endpoint;
    private final UpstreamPool pool;
    private final Socket socket;
    private volatile ServingThread servingThread;
    private volatile boolean isConnected;
    /** The upstream's name where it is opened for no attempt; else null. */
    private final String spareForHost;
    /** This and the next three: under this connection's own lock. */
    private Attempt attempt;
    /** The attempt was handed over by another thread, which is about to write it and owns it until it does. */
    private boolean handedOver;
    /** The attempt's first byte is about to go out, or has gone: what is read from now on may be its answer. */
    private boolean attemptBegun;
    /** Something was read, or the end, before an attempt began: it is no attempt's answer, and none may begin here. */
    private boolean unusable;
    private Deadlines.Deadline idleTimeout;
    private long idleSinceUs;
    /** Under the side's lock. */
    private Attempt reservedFor;

    /** One that takes a long request is served by its client's thread until that is whole. */
    UpstreamConnection(UpstreamPool pool, Endpoints.Endpoint endpoint, Attempt first) {
        servingThread = first.isUploading() ? ServingThread.CLIENT_CONNECTING : ServingThread.OWN;
        this.pool = pool;
        this.endpoint = endpoint;
        socket = pool.newSocket();
        attempt = first;
        spareForHost = null;
    }

    /** A spare one, opened before an attempt needs it; {@code host}: its upstream's name in the list. */
    UpstreamConnection(UpstreamPool pool, Endpoints.Endpoint endpoint, String host) {
        servingThread = ServingThread.OWN;
        this.pool = pool;
        this.endpoint = endpoint;
        socket = pool.newSocket();
        spareForHost = host;
    }

    /**
     * An attempt for it, as it leaves the table of idle ones; the attempt stays the caller's until {@link #write} takes
     * it.
     */
    synchronized void assign(Attempt next) {
        attempt = next;
        handedOver = true;
    }

    void setIdle(long sinceUs, Deadlines.Deadline timeout) {
        idleSinceUs = sinceUs;
        idleTimeout = timeout;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Nobody else may take it while it rests; null: anybody may, once it has rested. */
    void reserveFor(Attempt next) {
        reservedFor = next;
    }

    Attempt reservedFor() {
        return reservedFor;
    }

    Deadlines.Deadline idleTimeout() {
        return idleTimeout;
    }

    void close() {
        Sockets.close(socket);
    }

    /** What became of an attempt that was to be written. */
    enum WriteResult {
        /** The connection has it, and its thread reports its end, also where the write has failed. */
        ACCEPTED,
        /** It may not go out any more, and has ended as never sent. The connection is of no more use. */
        STOPPED,
        /** The host has closed the connection or sent what nobody asked for: the attempt may go out on another one. */
        UNUSABLE
    }

    /**
     * Writes the attempt, or the beginning of a long one, where it may still go out and the connection is fit for it.
     */
    WriteResult write(Attempt current) {
        current.exchange.checkClientPresence();       // first, as it may take its time
        ClientRequest request = current.exchange.request;
        byte[] message = request.bytesFor(endpoint.address(), current.expiresAtUs() - pool.now());
        if (!pool.mayBegin(current, endpoint)) {
            return WriteResult.STOPPED;
        }
        if (!tryBegin()) {
            return WriteResult.UNUSABLE;
        }
        boolean whole = false;
        boolean awaitsBody = false;
        try {
            socket.getOutputStream().write(message);
            awaitsBody = request.isLong();
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
     * Whether the attempt in hand begins, right before its first byte: not where anything came before, be it half a
     * line that still lies with the system, or the end that the reading thread has just seen. Either that thread says
     * first that something came, or this says first that the attempt has begun; only what comes then is taken for its
     * answer.
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

    /** Something has been read, or the end, or a break. */
    private synchronized void inputReceived() {
        unusable |= !attemptBegun;
    }

    /** The attempt that has begun, or null. */
    private synchronized Attempt begunAttempt() {
        return attemptBegun ? attempt : null;
    }

    /** The attempt is over for this connection: what still comes is the rest of its answer. */
    private synchronized void detachAttempt() {
        attempt = null;
    }

    /** The answer is whole and read: from here on whatever comes is unasked. */
    private synchronized void responseRead() {
        attemptBegun = false;
    }

    /** Notes that something came at once, before any other thread can take the connection for a quiet one. */
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
     * Writes the next piece of a long request, the last one with the end of the body; false where the attempt has
     * ended.
     */
    boolean writePiece(Attempt current, byte[] piece, ChunkedFraming.Span span, boolean last) {
        boolean written = false;
        try {
            if (!current.hasEnded()) {
                socket.getOutputStream().write(piece, span.from(), span.length());
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
     * The client's thread connects for its long request and writes the beginning, as it will carry the rest: a thread
     * of this connection's own would only wait until that is over. False where the attempt has ended, which is
     * reported.
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

    /** The client's thread is done with it: the answer is read by a thread of this connection's own, or it ends. */
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

    /** By whose thread the connection is served: its own, or for now that of the client whose long request it takes. */
    private enum ServingThread { OWN, CLIENT_CONNECTING, CLIENT_WRITING, NONE }

    @Override
    public void run() {
        try {
            if (isConnected || (spareForHost == null ? connect() : connectSpare())) {
                MessageReader reader = new MessageReader(new InputObserver(socket.getInputStream()),
                        MessageReader.LONGEST_BODY);
                while (reader.await() && readResponse(reader)) { }
            }
        } catch (IOException e) {
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
            // A repeat is not waited for beyond its window: nothing of it could go out any more.
            long waitUs = Math.min(pool.connectTimeoutUs(),
                    Math.min(first.expiresAtUs(), first.decision.beginByUs()) - pool.now());
            socket.setTcpNoDelay(true);
            // With the socket's own time-out: to close a socket that connects does not everywhere wake its thread.
            socket.connect(endpoint.address(), (int) Math.max(1, (waitUs + 999) / 1000));
            result = write(first);
        } catch (SocketTimeoutException e) {
            if (pool.now() >= first.decision.beginByUs()) {
                first.tryEnd(AttemptEnd.NOT_SENT);        // cut short by this side: it tells nothing of the host
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

    /** There was no thread for it. */
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

    /** Reads what came; false where the connection is of no more use. */
    private boolean readResponse(MessageReader reader) throws IOException {
        Attempt current = begunAttempt();
        if (current == null) {
            return false;           // bytes that nobody asked for
        }
        try {
            Head head = reader.response();
            current.headReceived(pool.now());
            AttemptEnd end = endFor(head);
            Body body = reader.bodyOf(head);
            if (end == AttemptEnd.SERVED && current.isUploading()) {
                throw new BadMessage(502, "served before it had the request");
            }
            boolean isLong = end == AttemptEnd.SERVED && body.length() > MessageReader.MAX_BODY;
            byte[] start = isLong ? new byte[0] : readStart(body);
            if (end == AttemptEnd.SERVED && body.framing() == Body.Framing.TO_END && !current.awaitWritten()) {
                throw new EOFException("ended under its request");
            }
            HostLoad load = LoadReportParser.parse(head);
            boolean isPassedOn = end == AttemptEnd.SERVED && !body.isWhole();
            if (isPassedOn) {
                socket.setSoTimeout(ResponseRelay.CHECK_INTERVAL_MS);
            }
            if (!current.tryEnd(end)) {
                return false;       // cut while the answer came; the end of the connection reports it
            }
            boolean wasWriting = current.isWriting();
            detachAttempt();
            pool.responseReceived(current);
            if (isPassedOn) {
                boolean whole = pool.relay(current, load, head, body, start);
                boolean reusable = whole && staysOpen(head, body, reader) && !wasWriting;
                if (reusable) {
                    socket.setSoTimeout(0);
                    responseRead();
                    pool.returnConnection(this, current.decision.host());
                }
                return reusable;
            }
            boolean reusable = body.isWhole() && staysOpen(head, body, reader) && !wasWriting;
            if (reusable) {
                responseRead();
                pool.returnConnection(this, current.decision.host());
            } else {
                close();
            }
            pool.reportResponse(current, end, load, head, start);
            return reusable;
        } catch (BadMessage e) {
            LOG.log(Level.WARNING, "rubbish from {0}: {1}", new Object[] {endpoint.address(), e.getMessage()});
            current.tryEnd(AttemptEnd.ERROR);
            return false;
        }
    }

    private static boolean staysOpen(Head head, Body body, MessageReader reader) {
        return !head.closes(head.start[0]) && body.framing() != Body.Framing.TO_END && !reader.hasBytes();
    }

    /**
     * What there is of a body: all of a short one. One whose length is not known is long where it is not whole soon;
     * it is waited for that long as most are short, and a short one that breaks can be asked for elsewhere.
     */
    private byte[] readStart(Body body) throws IOException {
        ByteArrayOutputStream start = new ByteArrayOutputStream((int) Math.max(512, Math.min(READ_BYTES, body.length())));
        byte[] piece = new byte[(int) (body.length() < 0 ? READ_BYTES : Math.max(1, Math.min(READ_BYTES, body.length())))];
        long bufferUntilUs = pool.now() + BUFFER_RESPONSE_US;
        try {
            while (!body.isWhole() && start.size() < MessageReader.MAX_BODY) {
                if (body.length() < 0) {
                    socket.setSoTimeout((int) Math.max(1, (bufferUntilUs - pool.now()) / 1000));
                }
                int read = body.read(piece, 0, piece.length);
                start.write(piece, 0, Math.max(0, read));
                if (body.length() < 0 && pool.now() >= bufferUntilUs) {
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            LOG.log(Level.FINE, "an answer from {0} takes its time", endpoint.address());
        } finally {
            if (body.length() < 0) {
                socket.setSoTimeout(0);
            }
        }
        return start.toByteArray();
    }

    private static AttemptEnd endFor(Head head) throws BadMessage {
        String status = head.start[1];
        if (status.equals("200")) {
            return AttemptEnd.SERVED;
        }
        if (status.startsWith("4")) {
            return AttemptEnd.NOT_ACCEPTED;
        }
        boolean turnedAway = (status.equals("503") || status.equals("504")) && "1".equals(head.get("X-Rejected"));
        return turnedAway ? AttemptEnd.TURNED_AWAY : AttemptEnd.ERROR;
    }

    /** The attempt whose end this connection has to report, or null: one that is handed over is still its writer's. */
    synchronized Attempt unreportedAttempt() {
        return handedOver ? null : attempt;
    }

    /** The same at its end: no attempt begins on it any more. */
    synchronized Attempt unreportedAttemptAtEnd() {
        unusable |= !attemptBegun;
        return unreportedAttempt();
    }
}
