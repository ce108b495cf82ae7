package dapplequay.net;

import java.io.IOException;
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
    private static final long WHOLE_REQUEST_US = 10_000_000;
    /** A client that does not take its answer must not hold the thread that writes it. */
    private static final long WRITE_US = 5_000_000;
    /** After the last answer the client closes; closing first could take the answer from it. */
    private static final long LINGER_US = 1_000_000;
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private enum State { IDLE, BUSY, CLOSED }

    private final AcquirerSide side;
    private final Socket socket;
    private State state = State.IDLE;
    private boolean lastRequest;
    private MessageReader reader;
    private Authorisation current;

    AcquirerConnection(AcquirerSide side, Socket socket) {
        this.side = side;
        this.socket = socket;
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
            // Bytes left unread would turn the close into a reset, and take the last answer from the client.
            socket.getInputStream().skip(Long.MAX_VALUE);
        } catch (IOException e) {
            LOG.log(Level.FINE, "acquirer connection ended: {0}", e.toString());
        } finally {
            if (current != null) {
                side.conductor().clientLeft(current);
            }
            close();
            side.ended(this);
        }
    }

    /** Waits for the answer to the request before; false where the connection takes no more. */
    private synchronized boolean beginRequest() {
        Waits.whileTrue(this, () -> state == State.BUSY);
        if (state == State.IDLE) {
            state = State.BUSY;
            current = null;
            return true;
        }
        return false;
    }

    private void readRequest() throws IOException {
        long receivedUs = side.deadlines().now();
        Deadlines.Deadline late = side.deadlines().after(WHOLE_REQUEST_US, this::close);
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
        } finally {
            side.deadlines().cancel(late);
        }
        // An answer to HEAD ends after its head, whatever length it names: not a method that is served here.
        lastRequest = head.closes(head.start[2]) || head.start[0].equals("HEAD");
        try {
            handle(head, body, receivedUs);
        } catch (BadMessage e) {
            answer(Answers.plain(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "request could not be handled", e);
            if (current == null || current.claim()) {
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
        Authorisation authorisation = new Authorisation(side.nextId(), this, request);
        current = authorisation;
        long leftUs = request.budgetUs() - (side.deadlines().now() - receivedUs);
        side.conductor().begin(authorisation, request.call(leftUs));
    }

    /** Writes the answer to the request in hand. Only who claimed the authorisation may call this. */
    void answer(Answers.Answer answer) {
        boolean last = lastRequest || side.isEnding();
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
}
