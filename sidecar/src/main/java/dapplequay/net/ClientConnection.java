package dapplequay.net;

import dapplequay.facade.RequestInfo;
import dapplequay.http.BadMessageException;
import dapplequay.http.Body;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.management.RequestCounts.End;
import dapplequay.time.DeadlineQueue;
import java.io.EOFException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One client connection and the thread that reads it. While a response is due, that thread checks at intervals whether
 * the client is still there; the thread that has the response writes it.
 */
final class ClientConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    /** Time after which an idle connection is closed: some clients send one request and never close. */
    private static final long IDLE_TIMEOUT_US = 2_100_000;
    /** Minimum age at which a connection without a complete request (unproven) is closed to make room. */
    private static final long UNPROVEN_MIN_AGE_US = 50_000;
    /** The same for one with a part of a request, unless unproven connections flood the limit. */
    private static final long PARTIAL_REQUEST_MIN_AGE_US = 500_000;
    /** A connection younger than this is not closed for a drain: its first request is on its way. */
    private static final long FIRST_REQUEST_WAIT_US = 100_000;
    private static final long UPLOAD_LINGER_US = 5_000_000;
    /** Time for writing a response: a client that does not read must not block the writing thread. */
    private static final long WRITE_TIMEOUT_US = 10_000_000;
    /** Time for the client to close after the last response; closing first could lose the response. */
    private static final long LINGER_US = 1_000_000;
    /** Time for a complete request head; clients take up to 2 s. */
    private static final long HEAD_TIMEOUT_US = 2_300_000;
    /** Interval of the checks for a client that leaves while its response is due, in milliseconds. */
    private static final long PRESENCE_CHECK_MS = 25;

    /** READING: part of a request has arrived; BUSY: the request is complete and its response is due. */
    private enum State { IDLE, READING, BUSY, CLOSED }

    private final ClientListener listener;
    private final Socket socket;
    private final LingeringClose lingeringClose;
    private final RequestBodyReader bodyReader;
    private final long acceptedUs;
    /** From when on the next request's first byte may have arrived, microseconds. */
    private volatile long readableSinceUs;
    private volatile RequestTimeline timeline;
    private State state = State.IDLE;
    private boolean hasRequested;
    private volatile boolean isRequestLate;
    private DeadlineQueue.Deadline idleDeadline;
    private volatile boolean isLastRequest;
    private volatile boolean isUploading;
    private volatile boolean isUploadAdmitted;
    /** A long response has begun, the last one on this connection. */
    private volatile boolean isRelaying;
    private volatile String httpVersion = "HTTP/1.1";
    private volatile ClientInput input;
    private MessageReader reader;
    private volatile Exchange currentExchange;

    /** {@code arrivedUs}: when the connection may have been made at the earliest, microseconds. */
    ClientConnection(ClientListener listener, Socket socket, long arrivedUs) {
        this.listener = listener;
        this.socket = socket;
        lingeringClose = new LingeringClose(socket, listener.deadlines());
        bodyReader = new RequestBodyReader(listener.deadlines(), BodyBuffers.MEMORY, this::requestTimedOut);
        acceptedUs = listener.deadlines().now();
        readableSinceUs = arrivedUs;
        idleDeadline = listener.deadlines().schedule(IDLE_TIMEOUT_US, () -> listener.idleTimeout(this));
    }

    void close() {
        lingeringClose.close();
    }

    private void finish() {
        bodyReader.release();
        if (input != null) {
            input.releaseKept();
        }
        close();
        synchronized (this) {
            listener.deadlines().cancel(idleDeadline);
        }
        listener.places().remove(this);
    }

    @Override
    public void run() {
        try {
            socket.setTcpNoDelay(true);
            input = new ClientInput(socket, listener.deadlines()::now, BodyBuffers.MEMORY);
            reader = new MessageReader(input, MessageReader.MAX_BODY_BYTES);
            while (awaitPreviousResponse() && reader.awaitRequest() && startReading()) {
                readRequest();
            }
            lingeringClose.discardInput(isUploading);
        } catch (IOException e) {
            LOG.log(Level.FINE, "client connection ended: {0}", e.toString());
        } finally {
            if (currentExchange != null) {
                LOG.fine(() -> "client of " + currentExchange.id + " is gone, " + state
                        + (currentExchange.isClaimed() ? "" : ", unanswered"));
                listener.dispatcher().clientLeft(currentExchange);
            }
            bodyReader.finish();
            if (input == null || !input.leave()) {
                finish();
            }
        }
    }

    /**
     * Waits until the response to the previous request is written, and checks for the client meanwhile; false if the
     * connection serves no further request.
     */
    private boolean awaitPreviousResponse() throws IOException {
        while (isBusyAfter(PRESENCE_CHECK_MS)) {
            input.checkPresent(reader, true);
        }
        currentExchange = null;         // an idle connection keeps no body
        timeline = null;
        bodyReader.release();
        if (!reader.hasBufferedBytes()) {
            input.releaseKept();
        }
        return isOpen();
    }

    private synchronized boolean isOpen() {
        return state != State.CLOSED;
    }

    /** True if the response is still due after at most {@code maxWaitMs} milliseconds. */
    private synchronized boolean isBusyAfter(long maxWaitMs) throws InterruptedIOException {
        if (state == State.BUSY) {
            MonitorWaits.atMost(this, maxWaitMs);
        }
        return state == State.BUSY;
    }

    private synchronized boolean startReading() {
        if (state == State.IDLE && input.hasDiscardedBytes()) {
            state = State.CLOSED;
            lingeringClose.begin(LINGER_US);
        }
        if (state != State.IDLE) {
            LOG.fine("request arrived while its connection was closing");
            return false;
        }
        state = State.READING;
        long firstByteUs = Math.max(readableSinceUs, input.lastWaitEndUs());
        timeline = new RequestTimeline(firstByteUs, acceptedUs, input::waitedUs);
        listener.deadlines().cancel(idleDeadline);
        currentExchange = null;
        return true;
    }

    /** Marks the request as complete; throws IOException if the connection was closed to make room meanwhile. */
    private synchronized void requestComplete() throws IOException {
        if (state == State.CLOSED) {
            throw new EOFException("connection was closed to make room");
        }
        state = State.BUSY;
    }

    /** Ends the wait for the rest of a request: the reading thread finds the end of the stream and responds. */
    private synchronized void requestTimedOut() {
        isRequestLate = true;
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
    }

    private void readRequest() throws IOException {
        DeadlineQueue.Deadline headDeadline = listener.deadlines().schedule(HEAD_TIMEOUT_US, this::requestTimedOut);
        Head head;
        Body body;
        byte[] bufferedBody;
        try {
            httpVersion = "HTTP/1.1";
            head = reader.readRequestHead();
            listener.deadlines().cancel(headDeadline);
            httpVersion = head.startLine[2];
            body = reader.requestBody(head);
            timeline.headRead(head, body, listener.deadlines().now());
            if (head.hasToken("Expect", "100-continue") && !httpVersion.equals("HTTP/1.0") && !body.isFullyBuffered()) {
                socket.getOutputStream().write(ClientResponses.continueSending());
            }
            bufferedBody = bodyReader.readReplayable(body);
        } catch (BadMessageException e) {
            isLastRequest = true;   // the end of this message, and so the start of the next, is unknown
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
        long receivedUs = listener.deadlines().now();
        if (body.isComplete()) {
            timeline.lastByteRead(receivedUs);
        }
        if (bodyReader.wasMemoryShort()) {
            timeline.memoryWasShort();
        }
        // No earlier could the client have written the last byte; a connection may have waited to be accepted.
        long timeBeganUs = Math.max(timeline.firstByteUs(), input.lastWaitEndUs());
        timeline.timeBegan(timeBeganUs);
        // HEAD is not supported, and its response would end after the head: the connection closes.
        isLastRequest = head.closesConnection(httpVersion) || head.startLine[0].equals("HEAD");
        isUploading = !body.isComplete();
        boolean isCountedUpload = isUploading;
        isUploadAdmitted = !isCountedUpload || listener.beginUpload();
        try {
            if (!isUploading) {
                bodyReader.finish();
                input.requestComplete();
            }
            handle(head, bufferedBody, body.isComplete() ? null : body, timeBeganUs);
            if (isUploading && currentExchange != null) {
                new RequestBodyForwarder(listener, input, reader, bodyReader, this::requestTimedOut)
                        .forwardOrReject(currentExchange, body, () -> isUploading = false, () -> isRequestLate);
                bodyReader.finish();
            }
        } catch (BadMessageException e) {
            writeResponse(ClientResponses.plainText(e.status, e.getMessage()));
        } catch (RuntimeException | OutOfMemoryError e) {
            Logs.severe(LOG, "request could not be handled", e);
            if (currentExchange == null) {
                writeResponse(ClientResponses.plainText(500, "failed"));
            } else if (currentExchange.claim()) {
                currentExchange.recordEnd(End.FAULTED);
                writeResponse(ClientResponses.plainText(500, "failed"));
            }
        } finally {
            if (isCountedUpload) {
                listener.endUpload();
            }
        }
    }

    /**
     * Checks for the client right before an attempt's first byte. If it has left, the exchange ends; if that can't be
     * known, as too much of its input lies unread, the request is answered without this attempt.
     */
    void checkClientPresent(Exchange exchange) {
        try {
            if (!input.confirmPresent(reader, !isUploading)) {
                LOG.fine(() -> "no attempt for " + exchange.id + ", as its client can't be seen behind unread input");
                listener.dispatcher().clientUnseen(exchange);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "client has disconnected: {0}", e.toString());
            listener.dispatcher().clientLeft(exchange);
        }
    }

    /** True unless the request is streamed and there were too many such requests already. */
    boolean isUploadAdmitted() {
        return isUploadAdmitted;
    }

    private void handle(Head head, byte[] bufferedBody, Body remainingBody, long timeBeganUs) throws IOException {
        if (head.startLine[1].equals("/healthz")) {
            writeResponse(head.startLine[0].equals("GET") ? listener.health()
                    : ClientResponses.plainText(405, "only GET"));
            return;
        }
        ClientRequest request = ClientRequest.parse(head, bufferedBody, remainingBody, listener.setup());
        if (remainingBody == null) {
            input.checkPresent(reader, true);
        }
        boolean hasPlace = listener.places().awaitPlace(this, timeline, timeBeganUs + request.budgetUs() / 2);
        RequestInfo info = request.toRequestInfo(request.budgetUs() - (listener.deadlines().now() - timeBeganUs));
        long callId = request.callId();
        if (!listener.registerCallId(callId, listener.deadlines().now())) {
            throw new BadMessageException(409, "X-Call-Id of another request");
        }
        synchronized (this) {
            hasRequested = true;
        }
        Exchange exchange = new Exchange(listener.nextExchangeId(), this, request, listener.counts(), timeline);
        exchange.onEnd(() -> listener.requestEnded(callId, exchange.hasBegun()));
        exchange.setDeadline(timeBeganUs + request.budgetUs());
        LOG.fine(() -> "request " + Long.toHexString(callId) + " is " + exchange.id);
        currentExchange = exchange;
        if (!listener.isShutdownTimeOver() && hasPlace) {
            listener.dispatcher().begin(exchange, info);
        } else if (exchange.claim()) {
            isLastRequest = true;
            exchange.recordEnd(End.THROTTLED);   // it never ran, and there is no time or no place left
            writeResponse(ClientResponses.refusal(0));
        }
    }

    /** True if the connection closes after the current response, as after one that precedes the request's end. */
    private boolean isLastResponse() {
        return isLastRequest || isUploading || input.hasDiscardedBytes() || listener.isEmptying()
                || listener.places().isCrowded();
    }

    /** Writes the response to the current request. Only the thread that claimed the exchange may call this. */
    void writeResponse(ClientResponses.Response response) {
        boolean last = isLastResponse();
        DeadlineQueue.Deadline writeDeadline = listener.deadlines().schedule(WRITE_TIMEOUT_US, this::close);
        try {
            input.beginResponse();
            listener.lateResponses().responseBegins(timeline, response.status());
            socket.getOutputStream().write(response.toBytes(ClientResponses.connectionField(last, httpVersion)));
            if (last) {
                lingeringClose.begin(isUploading ? UPLOAD_LINGER_US : LINGER_US);
            }
        } catch (IOException | OutOfMemoryError e) {
            last = true;
            close();
            LOG.log(Level.FINE, "response could not be written: {0}", e);
        } finally {
            listener.deadlines().cancel(writeDeadline);
        }
        responseWritten(last);
    }

    private synchronized void responseWritten(boolean last) {
        state = last ? State.CLOSED : State.IDLE;
        readableSinceUs = listener.deadlines().now();
        input.responseWritten();
        if (!last) {
            idleDeadline = listener.deadlines().schedule(IDLE_TIMEOUT_US, () -> listener.idleTimeout(this));
        }
        notifyAll();
    }

    /**
     * Passes on a streamed response on the calling thread; the request's time ends at {@code dueUs}. Returns true if
     * the response is complete. The reading thread ends meanwhile: many long responses arrive at once, and where a
     * process is limited to a share of a core, each thread costs some of that share. The connection closes after this
     * response.
     */
    boolean relayResponse(Head upstreamHead, Body body, ResponseStart start, long dueUs) {
        boolean isComplete = false;
        input.handOver();
        try {
            input.beginResponse();
            listener.lateResponses().responseBegins(timeline, Integer.parseInt(upstreamHead.startLine[1]));
            isComplete = new ResponseRelay(socket, input, lingeringClose, listener.deadlines(), listener::streamPauseMs)
                    .relay(() -> ClientResponses.streamStart(upstreamHead, body, start.bytes(), httpVersion,
                            ClientResponses.connectionField(true, httpVersion)),
                            start, body, ClientResponses.isChunked(body, httpVersion), dueUs);
        } catch (IOException e) {
            LOG.log(Level.FINE, "response could not be written: {0}", e.toString());
            close();
        } finally {
            if (!isComplete) {
                LOG.fine(() -> "streamed response to " + currentExchange.id + " broke off");
            }
            responseWritten(true);
            endAfterRelay(isComplete);
        }
        return isComplete;
    }

    /** Ends the connection on the reading thread if that still runs, else on a new one that waits for the client. */
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
     * Closes the connection if it is idle; one with unread input is served first. The client has {@code lingerUs} to
     * close too. Returns true if the connection is closing, because of this call or an earlier one.
     */
    synchronized boolean closeIfIdle(long lingerUs) {
        if (state == State.IDLE && !hasUnreadInput()) {
            state = State.CLOSED;
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED;
    }

    /** Closes the connection after its idle time; if input has arrived, which may be no request, waits once more. */
    synchronized void idleTimeout(long lingerUs) {
        if (!closeIfIdle(lingerUs) && state == State.IDLE) {
            idleDeadline = listener.deadlines().schedule(lingerUs, () -> listener.idleTimeout(this));
        }
    }

    /** True if the reading thread has input that it is about to process. */
    private boolean hasUnprocessedInput() {
        ClientInput from = input;
        return from != null && from.hasUnprocessedBytes();
    }

    /** True if input has arrived that was not processed yet. */
    private boolean hasUnreadInput() {
        try {
            return hasUnprocessedInput() || socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Limits a close that has begun to {@code lingerUs}; false if none has begun, or if it is done. */
    synchronized boolean shortenLinger(long lingerUs) {
        if (state == State.CLOSED) {
            lingeringClose.begin(lingerUs);
        }
        return state == State.CLOSED && !lingeringClose.isClosed();
    }

    /** Called when a long response is about to be relayed. */
    void relayBegins() {
        isRelaying = true;
    }

    /** True while a long response is relayed, or while the rest of a long request is read that was answered early. */
    synchronized boolean hasLongTransfer() {
        return isRelaying ? state == State.BUSY : isUploading;
    }

    /** True until the connection of a long transfer is closed, which lets the client receive the last bytes. */
    boolean awaitsEndOfTransfer() {
        return (isRelaying || isUploading) && !lingeringClose.isClosed();
    }

    /** True if there is a request to which no thread has taken on the response. */
    boolean hasUnansweredRequest() {
        Exchange exchange = currentExchange;
        return exchange != null && !exchange.isClaimed();
    }

    /** Fails the current request, as there is no time left: an error response is better than a closed connection. */
    void failUnansweredRequest() {
        Exchange exchange = currentExchange;
        if (exchange != null) {
            listener.dispatcher().rejectUpload(exchange, ClientResponses.failure(504));
        }
    }

    /** Closes an idle connection for a drain or shutdown; a new connection first gets time for its first request. */
    synchronized void closeIfIdleForDrain(long lingerUs) {
        if (hasRequested || listener.deadlines().now() - acceptedUs >= FIRST_REQUEST_WAIT_US) {
            closeIfIdle(lingerUs);
        }
    }

    /** True if no complete request has arrived on this connection. */
    synchronized boolean isUnproven() {
        return !hasRequested && (state == State.IDLE || state == State.READING);
    }

    /**
     * True if the connection is unproven and old enough to be closed to make room, as then it has no response to lose.
     * A connection within a request, or with unread input, has longer; in a flood of unproven connections only unread
     * input gives it longer.
     */
    synchronized boolean isClosableUnproven(boolean isFlood) {
        if (!isUnproven()) {
            return false;
        }
        long ageUs = listener.deadlines().now() - acceptedUs;
        boolean isWaiting = state == State.READING && !isFlood || hasUnreadInput();
        long minAgeUs = isWaiting ? PARTIAL_REQUEST_MIN_AGE_US : UNPROVEN_MIN_AGE_US;
        return ageUs >= minAgeUs && !hasUnprocessedInput();     // that input may be a complete request
    }

    /** Closes the connection if it is {@link #isClosableUnproven}; true if it was closed. */
    synchronized boolean closeIfUnproven(boolean isFlood) {
        boolean closes = isClosableUnproven(isFlood);
        if (closes) {
            state = State.CLOSED;
            close();
        }
        return closes;
    }
}
