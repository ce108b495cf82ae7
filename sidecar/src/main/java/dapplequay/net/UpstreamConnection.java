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

    private static final int PIECE = 8 * 1024;
    /** So long an answer of unknown length may take before it is passed on as it comes. */
    private static final long HELD_US = 100_000;

    final Endpoints.Endpoint endpoint;
    private final UpstreamSide side;
    private final Socket socket;
    private volatile Drive drive;
    private volatile boolean isConnected;
    /** The upstream's name where it is opened for no attempt; else null. */
    private final String spareFor;
    /** This and the next three: under this connection's own lock. */
    private Attempt attempt;
    /** The attempt was handed over by another thread, which is about to write it and owns it until it does. */
    private boolean handed;
    /** The attempt's first byte is about to go out, or has gone: what is read from now on may be its answer. */
    private boolean begun;
    /** Something was read, or the end, before an attempt began: it is no attempt's answer, and none may begin here. */
    private boolean unfit;
    private Deadlines.Deadline idleEnd;
    private long idleSinceUs;
    /** Under the side's lock. */
    private Attempt promisedTo;

    /** One that takes a long request is served by its client's thread until that is whole. */
    UpstreamConnection(UpstreamSide side, Endpoints.Endpoint endpoint, Attempt first) {
        drive = first.isUploading() ? Drive.CLIENT : Drive.OWN;
        this.side = side;
        this.endpoint = endpoint;
        socket = side.newSocket();
        attempt = first;
        spareFor = null;
    }

    /** A spare one, opened before an attempt needs it; {@code host}: its upstream's name in the list. */
    UpstreamConnection(UpstreamSide side, Endpoints.Endpoint endpoint, String host) {
        drive = Drive.OWN;
        this.side = side;
        this.endpoint = endpoint;
        socket = side.newSocket();
        spareFor = host;
    }

    /**
     * An attempt for it, as it leaves the table of idle ones; the attempt stays the caller's until {@link #write} takes
     * it.
     */
    synchronized void assign(Attempt next) {
        attempt = next;
        handed = true;
    }

    void idle(long sinceUs, Deadlines.Deadline end) {
        idleSinceUs = sinceUs;
        idleEnd = end;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Nobody else may take it while it rests; null: anybody may, once it has rested. */
    void promise(Attempt next) {
        promisedTo = next;
    }

    Attempt promisedTo() {
        return promisedTo;
    }

    Deadlines.Deadline idleEnd() {
        return idleEnd;
    }

    void close() {
        Sockets.close(socket);
    }

    /** What became of an attempt that was to be written. */
    enum Begin {
        /** The connection has it, and its thread reports its end, also where the write has failed. */
        TAKEN,
        /** It may not go out any more, and has ended as never sent. The connection is of no more use. */
        STOPPED,
        /** The host has closed the connection or sent what nobody asked for: the attempt may go out on another one. */
        UNFIT
    }

    /**
     * Writes the attempt, or the beginning of a long one, where it may still go out and the connection is fit for it.
     */
    Begin write(Attempt now) {
        now.exchange.lookForClient();       // first, as it may take its time
        ClientRequest request = now.exchange.request;
        byte[] message = request.toBytes(endpoint.address(), now.untilUs() - side.now());
        if (!side.mayBegin(now, endpoint)) {
            return Begin.STOPPED;
        }
        if (!begins()) {
            return Begin.UNFIT;
        }
        boolean whole = false;
        boolean begins = false;
        try {
            socket.getOutputStream().write(message);
            begins = request.isStreamed();
            whole = !begins;
        } catch (IOException e) {
            LOG.log(Level.FINE, "attempt could not be written to {0}: {1}", new Object[] {endpoint.address(), e});
        } finally {
            if (begins) {
                now.takenUp();
            } else {
                writeEnded(now, whole);
            }
        }
        return Begin.TAKEN;
    }

    /**
     * Whether the attempt in hand begins, right before its first byte: not where anything came before, be it half a
     * line that still lies with the system, or the end that the reading thread has just seen. Either that thread says
     * first that something came, or this says first that the attempt has begun; only what comes then is taken for its
     * answer.
     */
    private synchronized boolean begins() {
        try {
            unfit |= socket.getInputStream().available() > 0;
        } catch (IOException e) {
            unfit = true;
        }
        handed &= unfit;
        begun = !unfit;
        return begun;
    }

    /** Something has been read, or the end, or a break. */
    private synchronized void came() {
        unfit |= !begun;
    }

    /** The attempt that has begun, or null. */
    private synchronized Attempt begunAttempt() {
        return begun ? attempt : null;
    }

    /** The attempt is over for this connection: what still comes is the rest of its answer. */
    private synchronized void release() {
        attempt = null;
    }

    /** The answer is whole and read: from here on whatever comes is unasked. */
    private synchronized void rest() {
        begun = false;
    }

    /** Notes that something came at once, before any other thread can take the connection for a quiet one. */
    private final class Noting extends FilterInputStream {
        Noting(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] to, int at, int most) throws IOException {
            try {
                return in.read(to, at, most);
            } finally {
                came();
            }
        }
    }

    private void writeEnded(Attempt now, boolean whole) {
        if (whole) {
            side.counts().relayed();
        }
        now.writeEnded(whole, side.now());
        if (!whole) {
            close();
        }
    }

    /**
     * Writes the next piece of a long request, the last one with the end of the body; false where the attempt has
     * ended.
     */
    boolean carry(Attempt now, byte[] piece, Chunks.Span span, boolean last) {
        boolean written = false;
        try {
            if (!now.isCut()) {
                socket.getOutputStream().write(piece, span.from(), span.length());
                written = true;
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "attempt could not be written to {0}: {1}", new Object[] {endpoint.address(), e});
        } finally {
            if (last || !written) {
                writeEnded(now, last && written);
            }
        }
        return written;
    }

    /**
     * The client's thread connects for its long request and writes the beginning, as it will carry the rest: a thread
     * of this connection's own would only wait until that is over. False where the attempt has ended, which is
     * reported.
     */
    boolean beginFor() {
        if (drive != Drive.CLIENT) {
            return true;
        }
        boolean begun = false;
        try {
            begun = connect();
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection to {0} ended: {1}", new Object[] {endpoint.address(), e});
        }
        drive = begun ? Drive.CARRIED : Drive.OVER;
        if (!begun) {
            close();
            side.ended(this);
        }
        return begun;
    }

    /** The client's thread is done with it: the answer is read by a thread of this connection's own, or it ends. */
    void carried(boolean whole) {
        if (drive != Drive.CLIENT && drive != Drive.CARRIED) {
            return;
        }
        drive = whole ? Drive.OWN : Drive.OVER;
        if (whole) {
            side.start(this);
        } else {
            close();
            side.ended(this);
        }
    }

    /** By whose thread the connection is served: its own, or for now that of the client whose long request it takes. */
    private enum Drive { OWN, CLIENT, CARRIED, OVER }

    @Override
    public void run() {
        try {
            if (isConnected || (spareFor == null ? connect() : connectSpare())) {
                MessageReader reader = new MessageReader(new Noting(socket.getInputStream()),
                        MessageReader.LONGEST_BODY);
                while (reader.await() && serve(reader)) { }
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection to {0} ended: {1}", new Object[] {endpoint.address(), e});
        } finally {
            close();
            side.ended(this);
        }
    }

    private boolean connect() throws IOException {
        Attempt first = owed();
        Begin begin = Begin.UNFIT;
        try {
            if (first.isCut()) {
                return false;
            }
            // A repeat is not waited for beyond its window: nothing of it could go out any more.
            long waitUs = Math.min(side.connectTimeoutUs(),
                    Math.min(first.untilUs(), first.order.beginByUs()) - side.now());
            socket.setTcpNoDelay(true);
            // With the socket's own time-out: to close a socket that connects does not everywhere wake its thread.
            socket.connect(endpoint.address(), (int) Math.max(1, (waitUs + 999) / 1000));
            begin = write(first);
        } catch (SocketTimeoutException e) {
            if (side.now() >= first.order.beginByUs()) {
                first.answered(AttemptEnd.NOT_SENT);        // cut short by this side: it tells nothing of the host
            }
            throw e;
        } finally {
            if (begin != Begin.TAKEN) {
                first.writeEnded(false, side.now());
            }
        }
        isConnected = begin == Begin.TAKEN;
        return isConnected;
    }

    /** There was no thread for it. */
    void notStarted() {
        if (spareFor != null) {
            side.spareOpened(this, spareFor, false);
        }
    }

    private boolean connectSpare() throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(endpoint.address(), (int) Math.max(1, side.connectTimeoutUs() / 1000));
            isConnected = true;
        } finally {
            isConnected = side.spareOpened(this, spareFor, isConnected);
        }
        return isConnected;
    }

    /** Reads what came; false where the connection is of no more use. */
    private boolean serve(MessageReader reader) throws IOException {
        Attempt served = begunAttempt();
        if (served == null) {
            return false;           // bytes that nobody asked for
        }
        try {
            Head head = reader.response();
            served.headCame(side.now());
            AttemptEnd end = end(head);
            Body body = reader.bodyOf(head);
            if (end == AttemptEnd.SERVED && served.isUploading()) {
                throw new BadMessage(502, "served before it had the request");
            }
            boolean isLong = end == AttemptEnd.SERVED && body.length() > MessageReader.MAX_BODY;
            byte[] start = isLong ? new byte[0] : start(body);
            if (end == AttemptEnd.SERVED && body.framing() == Body.Framing.TO_END && !served.awaitWritten()) {
                throw new EOFException("ended under its request");
            }
            HostLoad load = LoadText.read(head);
            boolean isPassedOn = end == AttemptEnd.SERVED && !body.isWhole();
            if (isPassedOn) {
                socket.setSoTimeout(LongAnswer.LOOK_MS);
            }
            if (!served.answered(end)) {
                return false;       // cut while the answer came; the end of the connection reports it
            }
            boolean wasWriting = served.isWriting();
            release();
            side.answered(served);
            if (isPassedOn) {
                boolean whole = side.relay(served, load, head, body, start);
                boolean open = whole && isOpenAfter(head, body, reader) && !wasWriting;
                if (open) {
                    socket.setSoTimeout(0);
                    rest();
                    side.free(this, served.order.host());
                }
                return open;
            }
            boolean open = body.isWhole() && isOpenAfter(head, body, reader) && !wasWriting;
            if (open) {
                rest();
                side.free(this, served.order.host());
            } else {
                close();
            }
            side.told(served, end, load, head, start);
            return open;
        } catch (BadMessage e) {
            LOG.log(Level.WARNING, "rubbish from {0}: {1}", new Object[] {endpoint.address(), e.getMessage()});
            served.answered(AttemptEnd.ERROR);
            return false;
        }
    }

    private static boolean isOpenAfter(Head head, Body body, MessageReader reader) {
        return !head.closes(head.start[0]) && body.framing() != Body.Framing.TO_END && !reader.hasBytes();
    }

    /**
     * What there is of a body: all of a short one. One whose length is not known is long where it is not whole soon;
     * it is waited for that long as most are short, and a short one that breaks can be asked for elsewhere.
     */
    private byte[] start(Body body) throws IOException {
        ByteArrayOutputStream start = new ByteArrayOutputStream((int) Math.max(512, Math.min(PIECE, body.length())));
        byte[] piece = new byte[(int) (body.length() < 0 ? PIECE : Math.max(1, Math.min(PIECE, body.length())))];
        long untilUs = side.now() + HELD_US;
        try {
            while (!body.isWhole() && start.size() < MessageReader.MAX_BODY) {
                if (body.length() < 0) {
                    socket.setSoTimeout((int) Math.max(1, (untilUs - side.now()) / 1000));
                }
                int read = body.read(piece, 0, piece.length);
                start.write(piece, 0, Math.max(0, read));
                if (body.length() < 0 && side.now() >= untilUs) {
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

    private static AttemptEnd end(Head head) throws BadMessage {
        String status = head.start[1];
        if (status.equals("200")) {
            return AttemptEnd.SERVED;
        }
        if (status.startsWith("4")) {
            return AttemptEnd.NOT_ACCEPTED;
        }
        boolean unseen = (status.equals("503") || status.equals("504")) && "1".equals(head.get("X-Rejected"));
        return unseen ? AttemptEnd.TURNED_AWAY : AttemptEnd.ERROR;
    }

    /** The attempt whose end this connection has to report, or null: one that is handed over is still its writer's. */
    synchronized Attempt owed() {
        return handed ? null : attempt;
    }

    /** The same at its end: no attempt begins on it any more. */
    synchronized Attempt owedAtEnd() {
        unfit |= !begun;
        return owed();
    }
}
