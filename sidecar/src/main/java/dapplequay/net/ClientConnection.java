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
    private static final long IDLE_TIMEOUT_US = 2_100_000;
    /** A stranger, one that has not asked for anything yet, has at least so long before it makes room. */
    private static final long UNPROVEN_MIN_AGE_US = 50_000;
    /** The same for one whose request has begun to come, where no flood of them fills the bound. */
    private static final long PARTIAL_REQUEST_MIN_AGE_US = 500_000;
    /** A connection that has just come is not closed unheard: its first request is on its way. */
    private static final long FIRST_REQUEST_WAIT_US = 100_000;
    /** Of a long request that was answered before it was whole: its client may read only after it has sent all. */
    private static final int UPLOAD_DISCARD_BYTES = 2 * MessageReader.LONGEST_BODY;
    private static final long UPLOAD_LINGER_US = 5_000_000;
    /** A client that does not take its answer must not hold the thread that writes it. */
    private static final long WRITE_TIMEOUT_US = 10_000_000;
    /** Peers take seconds over a piece of a long body; where nothing moves for so long, nothing will. */
    private static final long STALL_TIMEOUT_US = 10_000_000;
    /** After the last answer the client closes; closing first could take the answer from it. */
    private static final long LINGER_US = 1_000_000;
    /** A head has to be here within this; clients take 2 s for one. */
    private static final long HEAD_TIMEOUT_US = 2_300_000;
    private static final byte[] CONTINUE_RESPONSE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** READING: a request has begun to come; BUSY: it is whole and its answer is due. */
    private enum State { IDLE, READING, BUSY, CLOSED }

    private final ClientListener listener;
    private final Socket socket;
    private final LingeringClose lingeringClose;
    private final BodyReader bodyReader;
    private final long acceptedUs;
    private State state = State.IDLE;
    private boolean hasRequested;
    private volatile boolean isRequestLate;
    private Deadlines.Deadline idleDeadline;
    private volatile boolean isLastRequest;
    private volatile boolean isUploading;
    private volatile boolean isUploadAdmitted;
    private volatile String httpVersion = "HTTP/1.1";
    private volatile ClientInput input;
    private MessageReader reader;
    private volatile ClientPresence presence;
    private volatile Exchange currentExchange;

    ClientConnection(ClientListener listener, Socket socket) {
        this.listener = listener;
        this.socket = socket;
        lingeringClose = new LingeringClose(socket, listener.deadlines());
        bodyReader = new BodyReader(listener.deadlines(), this::requestTimedOut);
        acceptedUs = listener.deadlines().now();
        idleDeadline = listener.deadlines().after(IDLE_TIMEOUT_US, () -> listener.idleTimeout(this));
    }

    void close() {
        lingeringClose.close();
    }

    private void finish() {
        close();
        synchronized (this) {
            listener.deadlines().cancel(idleDeadline);
        }
        listener.connectionEnded(this);
    }

    @Override
    public void run() {
        try {
            socket.setTcpNoDelay(true);
            input = new ClientInput(socket, listener.deadlines()::now);
            reader = new MessageReader(input, MessageReader.LONGEST_BODY);
            presence = new ClientPresence(listener, input, reader);
            while (reader.awaitRequest() && awaitPreviousResponse()) {
                readRequest();
            }
            lingeringClose.discardInput(isUploading ? UPLOAD_DISCARD_BYTES : 0);
        } catch (IOException e) {
            LOG.log(Level.FINE, "client connection ended: {0}", e.toString());
        } finally {
            if (currentExchange != null) {
                LOG.fine(() -> "client of " + currentExchange.id + " is gone, " + state
                        + (currentExchange.isOver() ? "" : ", unanswered"));
                listener.conductor().clientLeft(currentExchange);
            }
            bodyReader.over();
            if (input == null || !input.leave()) {
                finish();
            }
        }
    }

    /**
     * Waits for the answer to the request before; false where the connection takes no more. A client that has sent
     * more is looked for meanwhile, as its end would lie behind that.
     */
    private boolean awaitPreviousResponse() throws IOException {
        while (isBusyAfter(ClientPresence.POLL_WHILE_BUSY_MS)) {
            input.checkPresent(reader, true);
        }
        return startReading();
    }

    /** Whether the answer is still due after so many ms, or a little earlier. */
    private synchronized boolean isBusyAfter(long maxWaitMs) throws InterruptedIOException {
        if (state == State.BUSY) {
            Waits.atMost(this, maxWaitMs);
        }
        return state == State.BUSY;
    }

    private synchronized boolean startReading() {
        if (state == State.IDLE && input.hasDiscardedBytes()) {
            state = State.CLOSED;
            lingeringClose.begin(LINGER_US);
        }
        if (state != State.IDLE) {
            LOG.fine("a request crossed the end of its connection");
            return false;
        }
        state = State.READING;
        listener.deadlines().cancel(idleDeadline);
        currentExchange = null;
        return true;
    }

    /** The request is whole; IOException where the connection was closed to make room meanwhile. */
    private synchronized void requestComplete() throws IOException {
        if (state == State.CLOSED) {
            throw new EOFException("made room");
        }
        state = State.BUSY;
        input.setResponseDue(true);
    }

    /** Ends the wait for the rest of a request; its thread finds the end of the stream and answers. */
    private synchronized void requestTimedOut() {
        isRequestLate = true;
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
    }

    private void readRequest() throws IOException {
        Deadlines.Deadline headDeadline = listener.deadlines().after(HEAD_TIMEOUT_US, this::requestTimedOut);
        Head head;
        Body body;
        byte[] bufferedBody;
        try {
            httpVersion = "HTTP/1.1";
            head = reader.request();
            listener.deadlines().cancel(headDeadline);
            httpVersion = head.start[2];
            body = reader.body(head);
            if (head.lists("Expect", "100-continue") && !httpVersion.equals("HTTP/1.0") && !body.isBuffered()) {
                socket.getOutputStream().write(CONTINUE_RESPONSE);
            }
            bufferedBody = bodyReader.held(body);
        } catch (BadMessage e) {
            isLastRequest = true;         // where this message ends, and the next begins, nobody can say
            writeResponse(ClientResponses.plainText(e.status, e.getMessage()));
            return;
        } catch (EOFException e) {
            if (!isRequestLate) {
                throw e;
            }
            isLastRequest = true;
            writeResponse(ClientResponses.requestTimeout());
            return;
        } finally {
            listener.deadlines().cancel(headDeadline);
        }
        requestComplete();
        // An answer to HEAD ends after its head, whatever length it names: not a method that is served here.
        isLastRequest = head.closes(httpVersion) || head.start[0].equals("HEAD");
        isUploading = !body.isWhole();
        boolean isCountedUpload = isUploading;
        isUploadAdmitted = !isCountedUpload || listener.beginUpload();
        try {
            if (!isUploading) {
                bodyReader.over();
            }
            handle(head, bufferedBody, body.isWhole() ? null : body, listener.deadlines().now());
            if (isUploading && currentExchange != null) {
                forwardBody(currentExchange, body);
                bodyReader.over();
            }
        } catch (BadMessage e) {
            writeResponse(ClientResponses.plainText(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "request could not be handled", e);
            if (currentExchange == null) {
                writeResponse(ClientResponses.plainText(500, "failed"));
            } else if (currentExchange.claim()) {
                currentExchange.ended(End.FAULTED);
                writeResponse(ClientResponses.plainText(500, "failed"));
            }
        } finally {
            if (isCountedUpload) {
                listener.endUpload();
            }
        }
    }

    /** Right before an attempt's first byte: has the client looked for, where it may have left unseen. */
    void checkClientPresent(Exchange exchange) {
        presence.checkBeforeSend(exchange, !isUploading);
    }

    /** Whether a long request is among as many as may come at once. */
    boolean isUploadAdmitted() {
        return isUploadAdmitted;
    }

    /** Carries the rest of a long request to the attempt that is out, until it is whole or the request is over. */
    private void forwardBody(Exchange exchange, Body body) throws IOException {
        byte[] piece = Pieces.take();
        boolean chunked = exchange.request.isChunked();
        Progress.Moves moves = new Progress.Moves(listener.deadlines(), STALL_TIMEOUT_US);
        try (Progress stuck = new Progress(listener.deadlines(), moves, () -> {
            if (bodyReader.isWaiting()) {
                requestTimedOut();
            } else {
                listener.conductor().cutStuck(exchange);
            }
        })) {
            Attempt attempt = null;
            while (isUploading && !exchange.isOver()) {
                int count = Math.max(0, bodyReader.read(body, piece, Chunks.ROOM, Pieces.SIZE));
                boolean last = body.isWhole();
                isUploading = !last;
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
                Chunks.Span span = Chunks.span(piece, count, chunked, last);
                if (!attempt.connection().carry(attempt, piece, span, last)) {
                    return;
                }
                moves.moved();
                if (last) {
                    attempt.connection().carried(true);
                }
                Pieces.gather(count, body, listener.streamPauseMs());
            }
        } catch (BadMessage e) {
            listener.conductor().spoilt(exchange, ClientResponses.plainText(e.status, e.getMessage()));
        } catch (EOFException e) {
            if (!isRequestLate) {
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
            Attempt lastAttempt = exchange.attempt();
            if (lastAttempt != null && lastAttempt.connection() != null) {
                lastAttempt.connection().carried(false);
            }
        }
    }

    private void handle(Head head, byte[] bufferedBody, Body remainingBody, long receivedUs) throws IOException {
        if (head.start[1].equals("/healthz")) {
            writeResponse(head.start[0].equals("GET") ? listener.health() : ClientResponses.plainText(405, "only GET"));
            return;
        }
        ClientRequest request = ClientRequest.parse(head, bufferedBody, remainingBody, listener.setup());
        if (remainingBody == null) {
            presence.checkPresent(receivedUs, true);
        }
        long callId = request.callId();
        if (!listener.registerCallId(callId, receivedUs)) {
            throw new BadMessage(409, "X-Call-Id of another request");
        }
        synchronized (this) {
            hasRequested = true;
        }
        Exchange exchange = new Exchange(listener.nextExchangeId(), this, request, listener.counts());
        exchange.dueBy(receivedUs + request.budgetUs());
        LOG.fine(() -> "request " + Long.toHexString(callId) + " is " + exchange.id);
        currentExchange = exchange;
        if (listener.isEndingTimeOver() && exchange.claim()) {
            exchange.ended(End.THROTTLED);         // it never ran, and there is no time for it to
            writeResponse(ClientResponses.refusal(0));
            return;
        }
        Call call = request.toCall(request.budgetUs() - (listener.deadlines().now() - receivedUs));
        presence.runWhileAway(exchange, remainingBody == null, () -> listener.conductor().begin(exchange, call));
    }

    /** Whether the answer in hand is this connection's last; one that comes while its request does, has to be. */
    private boolean isLastResponse() {
        return isLastRequest || isUploading || input.hasDiscardedBytes() || listener.isEmptying() || listener.isCrowded();
    }

    private String connectionField(boolean last) {
        return last ? "Connection: close\r\n" : httpVersion.equals("HTTP/1.0") ? "Connection: keep-alive\r\n" : "";
    }

    /** Writes the answer to the request in hand. Only who claimed the exchange may call this. */
    void writeResponse(ClientResponses.Response response) {
        boolean last = isLastResponse();
        Deadlines.Deadline writeDeadline = listener.deadlines().after(WRITE_TIMEOUT_US, this::close);
        try {
            socket.getOutputStream().write(response.toBytes(connectionField(last)));
            if (last) {
                lingeringClose.begin(isUploading ? UPLOAD_LINGER_US : LINGER_US);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "answer could not be written: {0}", e.toString());
            last = true;
            close();
        } finally {
            listener.deadlines().cancel(writeDeadline);
        }
        responseWritten(last);
    }

    private synchronized void responseWritten(boolean last) {
        state = last ? State.CLOSED : State.IDLE;
        input.setResponseDue(false);
        if (!last) {
            idleDeadline = listener.deadlines().after(IDLE_TIMEOUT_US, () -> listener.idleTimeout(this));
        }
        notifyAll();
    }

    /**
     * Passes a long answer on, by the caller's thread; its request's time ends at {@code dueUs}. True if it was whole.
     * The thread that reads this connection ends meanwhile: where a process is held to a share of a core each thread
     * costs some of that share, and long answers come many at once. This answer is the connection's last.
     */
    boolean relayResponse(Head upstreamHead, Body body, byte[] start, long dueUs) {
        boolean isComplete = false;
        input.handOver();
        try {
            byte[] responseStart = ClientResponses.streamStart(upstreamHead, body, start, httpVersion, connectionField(true));
            isComplete = new LongAnswer(socket, input, lingeringClose, listener.deadlines(), listener::streamPauseMs)
                    .pass(responseStart, start.length, body, ClientResponses.isChunked(body, httpVersion), dueUs);
        } finally {
            if (!isComplete) {
                LOG.fine(() -> "long answer to " + currentExchange.id + " broke off");
            }
            responseWritten(true);
            endAfterRelay(isComplete);
        }
        return isComplete;
    }

    /** Ended by the reading thread where that is still there; else one takes its place until the client closes too. */
    private void endAfterRelay(boolean isComplete) {
        if (isComplete) {
            lingeringClose.begin(LINGER_US);
        }
        if (input.giveBack()) {
            return;
        }
        if (!isComplete || input.isGone()) {
            finish();
        } else {
            lingeringClose.discardInputInBackground(this::finish);
        }
    }

    /**
     * Lets a connection between requests go; one on which something has come is served first. The client has {@code
     * lingerUs} to close too. True where the connection is ending, by this call or an earlier one.
     */
    synchronized boolean closeIfIdle(long lingerUs) {
        if (state == State.IDLE && !hasUnreadInput()) {
            state = State.CLOSED;
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED;
    }

    /** It has rested for too long; what has just come, and may be no request, is waited for once more. */
    synchronized void idleTimeout(long lingerUs) {
        if (!closeIfIdle(lingerUs) && state == State.IDLE) {
            idleDeadline = listener.deadlines().after(lingerUs, () -> listener.idleTimeout(this));
        }
    }

    /** Whether the reading thread has something that it is about to use. */
    private boolean hasUnprocessedInput() {
        ClientInput from = input;
        return from != null && from.hasUnprocessedBytes();
    }

    /** Whether something has come that was not looked at. */
    private boolean hasUnreadInput() {
        try {
            return hasUnprocessedInput() || socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Has an end that has begun take no longer than this from now on, us; false where none has, or it is over. */
    synchronized boolean shortenLinger(long lingerUs) {
        if (state == State.CLOSED) {
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED && !lingeringClose.isClosed();
    }

    /** Whether a request is in hand whose answer nobody has taken on. */
    boolean hasUnansweredRequest() {
        Exchange exchange = currentExchange;
        return exchange != null && !exchange.isOver();
    }

    /** There is no time left to wait for the answer to the request in hand: it fails, better told than cut off. */
    void failUnansweredRequest() {
        Exchange exchange = currentExchange;
        if (exchange != null) {
            listener.conductor().spoilt(exchange, ClientResponses.failure(504));
        }
    }

    /** The same where the sidecar is being emptied: one that has just come is given the time to ask. */
    synchronized void closeIfIdleForDrain(long lingerUs) {
        if (hasRequested || listener.deadlines().now() - acceptedUs >= FIRST_REQUEST_WAIT_US) {
            closeIfIdle(lingerUs);
        }
    }

    /** Whether nothing has been asked for whole on this connection. */
    synchronized boolean isUnproven() {
        return !hasRequested && (state == State.IDLE || state == State.READING);
    }

    /**
     * Closes a grown stranger, which has no answer to lose: true if this was one. In the middle of a request it has
     * longer, but for a {@code flood} of strangers, and where what came is not looked at yet, in any case.
     */
    synchronized boolean closeIfUnproven(boolean isFlood) {
        if (!isUnproven()) {
            return false;
        }
        long ageUs = listener.deadlines().now() - acceptedUs;
        boolean isWaiting = state == State.READING && !isFlood || hasUnreadInput();
        if (ageUs < (isWaiting ? PARTIAL_REQUEST_MIN_AGE_US : UNPROVEN_MIN_AGE_US) || hasUnprocessedInput()) {
            return false;           // what is in hand may be a whole request
        }
        state = State.CLOSED;
        close();
        return true;
    }
}
