package dapplequay.net;

import dapplequay.http.BadMessage;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.time.Deadlines;
import dapplequay.management.Counts.End;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection of the acquirer's, with the thread that reads it. The thread goes on reading while a leg is
 * out, and so sees a client that leaves; whoever has the answer writes it.
 */
final class AcquirerConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(AcquirerConnection.class.getName());
    /** An idle connection is closed after this: some clients ask once and never again, nor ever close. */
    private static final long IDLE_US = 2_100_000;
    /** A stranger, one that has not asked for anything yet, has at least so long before it makes room. */
    private static final long STRANGER_US = 50_000;
    /** A connection that has just come is not closed unheard: its first request is on its way. */
    private static final long FRESH_US = 100_000;
    /** What is still read after the last answer: clients that send without end are not waited for. */
    private static final int DRAINED = 256 * 1024;
    /** A client that does not take its answer must not hold the thread that writes it. */
    private static final long WRITE_US = 5_000_000;
    /** After the last answer the client closes; closing first could take the answer from it. */
    private static final long LINGER_US = 1_000_000;
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** READING: a request has begun to come; BUSY: it is whole and its answer is due. */
    private enum State { IDLE, READING, BUSY, CLOSED }

    private final AcquirerSide side;
    private final Socket socket;
    private final long sinceUs;
    private State state = State.IDLE;
    private boolean asked;
    private boolean late;
    private Deadlines.Deadline idleEnd;
    private boolean lastRequest;
    private MessageReader reader;
    private Authorisation current;

    AcquirerConnection(AcquirerSide side, Socket socket) {
        this.side = side;
        this.socket = socket;
        sinceUs = side.deadlines().now();
        idleEnd = side.deadlines().after(IDLE_US, this::closeIfIdle);
    }

    void close() {
        Sockets.close(socket);
    }

    @Override
    public void run() {
        try {
            socket.setTcpNoDelay(true);
            reader = new MessageReader(socket.getInputStream());
            while (reader.await() && beginRequest()) {
                readRequest();
            }
            drain();
        } catch (IOException e) {
            LOG.log(Level.FINE, "acquirer connection ended: {0}", e.toString());
        } finally {
            if (current != null) {
                side.conductor().clientLeft(current);
            }
            close();
            synchronized (this) {
                side.deadlines().cancel(idleEnd);
            }
            side.ended(this);
        }
    }

    /** Bytes left unread would turn the close into a reset, and take the last answer from the client. */
    private void drain() throws IOException {
        InputStream in = socket.getInputStream();
        byte[] unread = new byte[4 * 1024];
        int read = 0;
        for (int sum = 0; read >= 0 && sum < DRAINED; sum += read) {
            read = in.read(unread);
        }
    }

    /** Waits for the answer to the request before; false where the connection takes no more. */
    private synchronized boolean beginRequest() {
        Waits.whileTrue(this, () -> state == State.BUSY);
        if (state == State.IDLE) {
            state = State.READING;
            side.deadlines().cancel(idleEnd);
            current = null;
            return true;
        }
        return false;
    }

    /** The request is whole; IOException where the connection was closed to make room meanwhile. */
    private synchronized void requestIsWhole() throws IOException {
        if (state == State.CLOSED) {
            throw new EOFException("made room");
        }
        state = State.BUSY;
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

    private synchronized boolean isLate() {
        return late;
    }

    private void readRequest() throws IOException {
        long receivedUs = side.deadlines().now();
        Deadlines.Deadline whole = side.deadlines().after(side.wholeRequestUs(), this::requestIsLate);
        Head head;
        byte[] body;
        try {
            head = reader.request();
            if (head.lists("Expect", "100-continue")) {
                socket.getOutputStream().write(CONTINUE);
            }
            body = reader.requestBody(head);
        } catch (BadMessage e) {
            lastRequest = true;         // where this message ends, and the next begins, nobody can say
            answer(Answers.plain(e.status, e.getMessage()));
            return;
        } catch (EOFException e) {
            if (!isLate()) {
                throw e;
            }
            lastRequest = true;
            answer(Answers.plain(408, "request did not come whole in time"));
            return;
        } finally {
            side.deadlines().cancel(whole);
        }
        requestIsWhole();
        // An answer to HEAD ends after its head, whatever length it names: not a method that is served here.
        lastRequest = head.closes(head.start[2]) || head.start[0].equals("HEAD");
        try {
            handle(head, body, receivedUs);
        } catch (BadMessage e) {
            answer(Answers.plain(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "request could not be handled", e);
            if (current == null) {
                answer(Answers.plain(500, "failed"));
            } else if (current.claim()) {
                current.ended(End.FAULTED);
                answer(Answers.plain(500, "failed"));
            }
        }
    }

    private void handle(Head head, byte[] body, long receivedUs) throws BadMessage {
        if (head.start[1].equals("/healthz")) {
            answer(head.start[0].equals("GET") ? side.health() : Answers.plain(405, "only GET"));
            return;
        }
        AcquirerRequest request = AcquirerRequest.check(head, body, side.setup());
        if (!side.isNewId(request.callId(), receivedUs)) {
            throw new BadMessage(409, "X-Call-Id of another request");
        }
        synchronized (this) {
            asked = true;
        }
        Authorisation authorisation = new Authorisation(side.nextId(), this, request, side.counts());
        current = authorisation;
        long leftUs = request.budgetUs() - (side.deadlines().now() - receivedUs);
        side.conductor().begin(authorisation, request.call(leftUs));
    }

    /** Writes the answer to the request in hand. Only who claimed the authorisation may call this. */
    void answer(Answers.Answer answer) {
        boolean last = lastRequest || side.empties() || side.isCrowded();
        Deadlines.Deadline stuck = side.deadlines().after(WRITE_US, this::close);
        try {
            socket.getOutputStream().write(answer.bytes(last));
            if (last) {
                side.deadlines().after(LINGER_US, this::close);
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "answer could not be written: {0}", e.toString());
            last = true;
            close();
        } finally {
            side.deadlines().cancel(stuck);
        }
        synchronized (this) {
            state = last ? State.CLOSED : State.IDLE;
            if (!last) {
                idleEnd = side.deadlines().after(IDLE_US, this::closeIfIdle);
            }
            notifyAll();
        }
    }

    /**
     * Ends a connection between requests; one on which something has come is served first. True where the
     * connection is ending, by this call or an earlier one.
     */
    synchronized boolean closeIfIdle() {
        try {
            if (state == State.IDLE && (reader == null || !reader.hasBytes())
                    && socket.getInputStream().available() == 0) {
                state = State.CLOSED;
                close();
            }
        } catch (IOException e) {
            state = State.CLOSED;
            close();
        }
        return state == State.CLOSED;
    }

    /** The same where the sidecar is being emptied: one that has just come is given the time to ask. */
    synchronized void closeToEmpty() {
        if (asked || side.deadlines().now() - sinceUs >= FRESH_US) {
            closeIfIdle();
        }
    }

    /** Whether nothing has been asked for whole on this connection. */
    synchronized boolean isStranger() {
        return !asked && (state == State.IDLE || state == State.READING);
    }

    /**
     * Closes a grown stranger that says nothing or only the beginning of a request, and one that has its last
     * answer: true if this was one.
     */
    synchronized boolean closeIfStranger() {
        boolean grown = isStranger() && side.deadlines().now() - sinceUs >= STRANGER_US;
        if (grown || state == State.CLOSED) {
            state = State.CLOSED;
            close();
            return true;
        }
        return false;
    }
}
