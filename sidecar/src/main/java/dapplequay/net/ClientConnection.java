package dapplequay.net;

import dapplequay.facade.Call;
import dapplequay.http.BadMessage;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.time.Deadlines;
import dapplequay.management.Counts.End;
import java.io.EOFException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection of the client's, with the thread that reads it. The thread goes on reading while an attempt is
 * out, and so sees a client that leaves; whoever has the answer writes it.
 */
final class ClientConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    /** An idle connection is closed after this: some clients ask once and never again, nor ever close. */
    private static final long IDLE_US = 2_100_000;
    /** A stranger, one that has not asked for anything yet, has at least so long before it makes room. */
    private static final long STRANGER_US = 50_000;
    /** The same for one whose request has begun to come, where no flood of them fills the bound. */
    private static final long HALF_US = 500_000;
    /** A connection that has just come is not closed unheard: its first request is on its way. */
    private static final long FRESH_US = 100_000;
    /** Of a long request that was answered before it was whole: its client may read only after it has sent all. */
    private static final int LONG_DRAINED = 2 * MessageReader.LONGEST_BODY;
    private static final long LONG_LINGER_US = 5_000_000;
    /** A client that does not take its answer must not hold the thread that writes it. */
    private static final long WRITE_US = 10_000_000;
    /** Peers take seconds over a piece of a long body; where nothing moves for so long, nothing will. */
    private static final long STALL_US = 10_000_000;
    /** After the last answer the client closes; closing first could take the answer from it. */
    private static final long LINGER_US = 1_000_000;
    /** A head has to be here within this; clients take 2 s for one. */
    private static final long HEAD_US = 2_300_000;
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** READING: a request has begun to come; BUSY: it is whole and its answer is due. */
    private enum State { IDLE, READING, BUSY, CLOSED }

    private final ClientListener listener;
    private final Socket socket;
    private final LingeringClose lingeringClose;
    private final BodyReader bodies;
    private final long sinceUs;
    private State state = State.IDLE;
    private boolean asked;
    private volatile boolean late;
    private Deadlines.Deadline idleEnd;
    private volatile boolean lastRequest;
    private volatile boolean uploading;
    private volatile boolean hasRoom;
    private volatile String version = "HTTP/1.1";
    private volatile ClientInput input;
    private MessageReader reader;
    private volatile ClientPresence presence;
    private volatile Exchange current;

    ClientConnection(ClientListener listener, Socket socket) {
        this.listener = listener;
        this.socket = socket;
        lingeringClose = new LingeringClose(socket, listener.deadlines());
        bodies = new BodyReader(listener.deadlines(), this::requestIsLate);
        sinceUs = listener.deadlines().now();
        idleEnd = listener.deadlines().after(IDLE_US, () -> listener.idleForLong(this));
    }

    void close() {
        lingeringClose.close();
    }

    private void over() {
        close();
        synchronized (this) {
            listener.deadlines().cancel(idleEnd);
        }
        listener.ended(this);
    }

    @Override
    public void run() {
        try {
            socket.setTcpNoDelay(true);
            input = new ClientInput(socket, listener.deadlines()::now);
            reader = new MessageReader(input, MessageReader.LONGEST_BODY);
            presence = new ClientPresence(listener, input, reader);
            while (reader.awaitRequest() && beginRequest()) {
                readRequest();
            }
            lingeringClose.discardInput(uploading ? LONG_DRAINED : 0);
        } catch (IOException e) {
            LOG.log(Level.FINE, "client connection ended: {0}", e.toString());
        } finally {
            if (current != null) {
                LOG.fine(() -> "client of " + current.id + " is gone, " + state
                        + (current.isOver() ? "" : ", unanswered"));
                listener.conductor().clientLeft(current);
            }
            bodies.over();
            if (input == null || !input.leave()) {
                over();
            }
        }
    }

    /**
     * Waits for the answer to the request before; false where the connection takes no more. A client that has sent
     * more is looked for meanwhile, as its end would lie behind that.
     */
    private boolean beginRequest() throws IOException {
        while (isBusyAfter(ClientPresence.POLL_WHILE_BUSY_MS)) {
            input.checkPresent(reader, true);
        }
        return begins();
    }

    /** Whether the answer is still due after so many ms, or a little earlier. */
    private synchronized boolean isBusyAfter(long ms) throws InterruptedIOException {
        if (state == State.BUSY) {
            Waits.atMost(this, ms);
        }
        return state == State.BUSY;
    }

    private synchronized boolean begins() {
        if (state == State.IDLE && input.hasDiscardedBytes()) {
            state = State.CLOSED;
            lingeringClose.begin(LINGER_US);
        }
        if (state != State.IDLE) {
            LOG.fine("a request crossed the end of its connection");
            return false;
        }
        state = State.READING;
        listener.deadlines().cancel(idleEnd);
        current = null;
        return true;
    }

    /** The request is whole; IOException where the connection was closed to make room meanwhile. */
    private synchronized void requestIsWhole() throws IOException {
        if (state == State.CLOSED) {
            throw new EOFException("made room");
        }
        state = State.BUSY;
        input.setResponseDue(true);
    }

    /** Ends the wait for the rest of a request; its thread finds the end of the stream and answers. */
    private synchronized void requestIsLate() {
        late = true;
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
    }

    private void readRequest() throws IOException {
        Deadlines.Deadline whole = listener.deadlines().after(HEAD_US, this::requestIsLate);
        Head head;
        Body body;
        byte[] held;
        try {
            version = "HTTP/1.1";
            head = reader.request();
            listener.deadlines().cancel(whole);
            version = head.start[2];
            body = reader.body(head);
            if (head.lists("Expect", "100-continue") && !version.equals("HTTP/1.0") && !body.isBuffered()) {
                socket.getOutputStream().write(CONTINUE);
            }
            held = bodies.held(body);
        } catch (BadMessage e) {
            lastRequest = true;         // where this message ends, and the next begins, nobody can say
            writeResponse(ClientResponses.plainText(e.status, e.getMessage()));
            return;
        } catch (EOFException e) {
            if (!late) {
                throw e;
            }
            lastRequest = true;
            writeResponse(ClientResponses.requestTimeout());
            return;
        } finally {
            listener.deadlines().cancel(whole);
        }
        requestIsWhole();
        // An answer to HEAD ends after its head, whatever length it names: not a method that is served here.
        lastRequest = head.closes(version) || head.start[0].equals("HEAD");
        uploading = !body.isWhole();
        boolean counted = uploading;
        hasRoom = !counted || listener.uploadBegins();
        try {
            if (!uploading) {
                bodies.over();
            }
            handle(head, held, body.isWhole() ? null : body, listener.deadlines().now());
            if (uploading && current != null) {
                carry(current, body);
                bodies.over();
            }
        } catch (BadMessage e) {
            writeResponse(ClientResponses.plainText(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "request could not be handled", e);
            if (current == null) {
                writeResponse(ClientResponses.plainText(500, "failed"));
            } else if (current.claim()) {
                current.ended(End.FAULTED);
                writeResponse(ClientResponses.plainText(500, "failed"));
            }
        } finally {
            if (counted) {
                listener.uploadEnds();
            }
        }
    }

    /** Right before an attempt's first byte: has the client looked for, where it may have left unseen. */
    void checkClientPresent(Exchange exchange) {
        presence.checkBeforeSend(exchange, !uploading);
    }

    /** Whether a long request is among as many as may come at once. */
    boolean hasRoom() {
        return hasRoom;
    }

    /** Carries the rest of a long request to the attempt that is out, until it is whole or the request is over. */
    private void carry(Exchange exchange, Body body) throws IOException {
        byte[] piece = Pieces.take();
        boolean chunked = exchange.request.isChunked();
        Progress.Moves moves = new Progress.Moves(listener.deadlines(), STALL_US);
        try (Progress stuck = new Progress(listener.deadlines(), moves, () -> {
            if (bodies.isWaiting()) {
                requestIsLate();
            } else {
                listener.conductor().cutStuck(exchange);
            }
        })) {
            Attempt attempt = null;
            while (uploading && !exchange.isOver()) {
                int read = Math.max(0, bodies.read(body, piece, Chunks.ROOM, Pieces.SIZE));
                boolean last = body.isWhole();
                uploading = !last;
                // From the first piece on that is not held, no other attempt can follow: asked for once it is here.
                while (attempt == null || !exchange.commit(attempt)) {
                    attempt = exchange.awaitOpen();
                    if (attempt == null) {
                        return;
                    }
                    presence.checkPresent(listener.deadlines().now(), last);
                    if (!attempt.connection().beginFor()) {
                        attempt = null;
                    }
                }
                if (last) {
                    input.checkPresent(reader, true);     // it may have left while this thread was elsewhere
                    if (!listener.conductor().lastPiece(attempt)) {
                        return;
                    }
                }
                moves.moved();
                Chunks.Span out = Chunks.span(piece, read, chunked, last);
                if (!attempt.connection().carry(attempt, piece, out, last)) {
                    return;
                }
                moves.moved();
                if (last) {
                    attempt.connection().carried(true);
                }
                Pieces.gather(read, body, listener.pauseMs());
            }
        } catch (BadMessage e) {
            listener.conductor().spoilt(exchange, ClientResponses.plainText(e.status, e.getMessage()));
        } catch (EOFException e) {
            if (!late) {
                listener.conductor().clientLeft(exchange);
                throw e;
            }
            listener.conductor().spoilt(exchange, ClientResponses.requestTimeout());
        } catch (IOException e) {
            listener.conductor().clientLeft(exchange);
            throw e;
        } finally {
            Pieces.give(piece);
            // Its end is reported by this thread, if it was this thread's to serve and the answer is not awaited yet.
            Attempt left = exchange.attempt();
            if (left != null && left.connection() != null) {
                left.connection().carried(false);
            }
        }
    }

    private void handle(Head head, byte[] held, Body remainingBody, long receivedUs) throws IOException {
        if (head.start[1].equals("/healthz")) {
            writeResponse(head.start[0].equals("GET") ? listener.health() : ClientResponses.plainText(405, "only GET"));
            return;
        }
        ClientRequest request = ClientRequest.parse(head, held, remainingBody, listener.setup());
        if (remainingBody == null) {
            presence.checkPresent(receivedUs, true);
        }
        long callId = request.callId();
        if (!listener.registerCallId(callId, receivedUs)) {
            throw new BadMessage(409, "X-Call-Id of another request");
        }
        synchronized (this) {
            asked = true;
        }
        Exchange exchange = new Exchange(listener.nextId(), this, request, listener.counts());
        exchange.dueBy(receivedUs + request.budgetUs());
        LOG.fine(() -> "request " + Long.toHexString(callId) + " is " + exchange.id);
        current = exchange;
        if (listener.isOver() && exchange.claim()) {
            exchange.ended(End.THROTTLED);         // it never ran, and there is no time for it to
            writeResponse(ClientResponses.refusal(0));
            return;
        }
        Call call = request.toCall(request.budgetUs() - (listener.deadlines().now() - receivedUs));
        presence.runWhileAway(exchange, remainingBody == null, () -> listener.conductor().begin(exchange, call));
    }

    /** Whether the answer in hand is this connection's last; one that comes while its request does, has to be. */
    private boolean isLastResponse() {
        return lastRequest || uploading || input.hasDiscardedBytes() || listener.empties() || listener.isCrowded();
    }

    private String connectionField(boolean last) {
        return last ? "Connection: close\r\n" : version.equals("HTTP/1.0") ? "Connection: keep-alive\r\n" : "";
    }

    /** Writes the answer to the request in hand. Only who claimed the exchange may call this. */
    void writeResponse(ClientResponses.Response response) {
        boolean last = isLastResponse();
        Deadlines.Deadline stuck = listener.deadlines().after(WRITE_US, this::close);
        try {
            socket.getOutputStream().write(response.toBytes(connectionField(last)));
            if (last) {
                lingeringClose.begin(uploading ? LONG_LINGER_US : LINGER_US);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "answer could not be written: {0}", e.toString());
            last = true;
            close();
        } finally {
            listener.deadlines().cancel(stuck);
        }
        responseWritten(last);
    }

    private synchronized void responseWritten(boolean last) {
        state = last ? State.CLOSED : State.IDLE;
        input.setResponseDue(false);
        if (!last) {
            idleEnd = listener.deadlines().after(IDLE_US, () -> listener.idleForLong(this));
        }
        notifyAll();
    }

    /**
     * Passes a long answer on, by the caller's thread; its request's time ends at {@code dueUs}. True if it was whole.
     * The thread that reads this connection ends meanwhile: where a process is held to a share of a core each thread
     * costs some of that share, and long answers come many at once. This answer is the connection's last.
     */
    boolean relayResponse(Head upstreamHead, Body body, byte[] start, long dueUs) {
        boolean whole = false;
        input.handOver();
        try {
            byte[] responseStart = ClientResponses.streamStart(upstreamHead, body, start, version, connectionField(true));
            whole = new LongAnswer(socket, input, lingeringClose, listener.deadlines(), listener::pauseMs)
                    .pass(responseStart, start.length, body, ClientResponses.isChunked(body, version), dueUs);
        } finally {
            if (!whole) {
                LOG.fine(() -> "long answer to " + current.id + " broke off");
            }
            responseWritten(true);
            endAfterRelay(whole);
        }
        return whole;
    }

    /** Ended by the reading thread where that is still there; else one takes its place until the client closes too. */
    private void endAfterRelay(boolean whole) {
        if (whole) {
            lingeringClose.begin(LINGER_US);
        }
        if (input.giveBack()) {
            return;
        }
        if (!whole || input.isGone()) {
            over();
        } else {
            lingeringClose.discardInputInBackground(this::over);
        }
    }

    /**
     * Lets a connection between requests go; one on which something has come is served first. The client has {@code
     * lingerUs} to close too. True where the connection is ending, by this call or an earlier one.
     */
    synchronized boolean closeIfIdle(long lingerUs) {
        if (state == State.IDLE && !hasUnread()) {
            state = State.CLOSED;
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED;
    }

    /** It has rested for too long; what has just come, and may be no request, is waited for once more. */
    synchronized void restedTooLong(long lingerUs) {
        if (!closeIfIdle(lingerUs) && state == State.IDLE) {
            idleEnd = listener.deadlines().after(lingerUs, () -> listener.idleForLong(this));
        }
    }

    /** Whether the reading thread has something that it is about to use. */
    private boolean isInHand() {
        ClientInput from = input;
        return from != null && from.hasUnprocessedBytes();
    }

    /** Whether something has come that was not looked at. */
    private boolean hasUnread() {
        try {
            return isInHand() || socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Has an end that has begun take no longer than this from now on, us; false where none has, or it is over. */
    synchronized boolean hurry(long lingerUs) {
        if (state == State.CLOSED) {
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED && !lingeringClose.isClosed();
    }

    /** Whether a request is in hand whose answer nobody has taken on. */
    boolean holds() {
        Exchange held = current;
        return held != null && !held.isOver();
    }

    /** There is no time left to wait for the answer to the request in hand: it fails, better told than cut off. */
    void failHeld() {
        Exchange held = current;
        if (held != null) {
            listener.conductor().spoilt(held, ClientResponses.failure(504));
        }
    }

    /** The same where the sidecar is being emptied: one that has just come is given the time to ask. */
    synchronized void closeToEmpty(long lingerUs) {
        if (asked || listener.deadlines().now() - sinceUs >= FRESH_US) {
            closeIfIdle(lingerUs);
        }
    }

    /** Whether nothing has been asked for whole on this connection. */
    synchronized boolean isStranger() {
        return !asked && (state == State.IDLE || state == State.READING);
    }

    /**
     * Closes a grown stranger, which has no answer to lose: true if this was one. In the middle of a request it has
     * longer, but for a {@code flood} of strangers, and where what came is not looked at yet, in any case.
     */
    synchronized boolean closeIfStranger(boolean flood) {
        if (!isStranger()) {
            return false;
        }
        long ageUs = listener.deadlines().now() - sinceUs;
        boolean waits = state == State.READING && !flood || hasUnread();
        if (ageUs < (waits ? HALF_US : STRANGER_US) || isInHand()) {
            return false;           // what is in hand may be a whole request
        }
        state = State.CLOSED;
        close();
        return true;
    }
}
