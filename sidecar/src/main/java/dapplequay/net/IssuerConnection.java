package dapplequay.net;

import dapplequay.facade.HostLoad;
import dapplequay.facade.LegEnd;
import dapplequay.http.BadMessage;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.time.Deadlines;
import java.io.IOException;
import java.net.Socket;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection to an issuer host, with the thread that reads it. One leg at a time; between legs the thread
 * stays in its read, and so sees at once when the host closes.
 */
final class IssuerConnection implements Runnable {
    private static final Logger LOG = Logger.getLogger(IssuerConnection.class.getName());

    final RoutingTable.Route route;
    private final IssuerSide side;
    private final Socket socket = new Socket();
    private Leg leg;
    private Deadlines.Deadline idleEnd;
    private long idleSinceUs;

    IssuerConnection(IssuerSide side, RoutingTable.Route route, Leg first) {
        this.side = side;
        this.route = route;
        leg = first;
    }

    /** Only under the lock of the side's table of idle connections, or by this connection's thread. */
    void assign(Leg next) {
        leg = next;
    }

    void idle(long sinceUs, Deadlines.Deadline end) {
        idleSinceUs = sinceUs;
        idleEnd = end;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    Deadlines.Deadline idleEnd() {
        return idleEnd;
    }

    void close() {
        Sockets.close(socket);
    }

    /** Writes the leg; if that fails, the reading thread finds the connection closed and reports it. */
    void write(Leg now) {
        boolean whole = false;
        try {
            byte[] message = now.authorisation.request.bytesFor(route.endpoint(), now.untilUs - side.now());
            if (!now.isCut()) {
                socket.getOutputStream().write(message);
                whole = true;
                side.counts().relayed();
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "leg could not be written to {0}: {1}", new Object[] {route.endpoint(), e});
        } finally {
            now.writeEnded(whole, side.now());
            if (!whole) {
                close();
            }
        }
    }

    @Override
    public void run() {
        try {
            if (connect()) {
                MessageReader reader = new MessageReader(socket.getInputStream());
                while (reader.await() && serve(reader)) { }
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "connection to {0} ended: {1}", new Object[] {route.endpoint(), e});
        } finally {
            close();
            side.ended(this);
        }
    }

    private boolean connect() throws IOException {
        Leg first = leg;
        boolean ready = false;
        try {
            if (first.isCut()) {
                return false;
            }
            long waitUs = Math.min(side.connectTimeoutUs(), first.untilUs - side.now());
            socket.setTcpNoDelay(true);
            socket.connect(route.endpoint(), (int) Math.max(1, waitUs / 1000));
            // The host may have been told to drain while the connect was under way.
            ready = route.equals(side.routeOf(first.order.host())) || !first.answered(LegEnd.NOT_SENT);
        } finally {
            if (!ready) {
                first.writeEnded(false, side.now());
            }
        }
        if (ready) {
            write(first);
        }
        return ready;
    }

    /** Reads what came; false where the connection is of no more use. */
    private boolean serve(MessageReader reader) throws IOException {
        if (side.isIdle(this)) {
            return false;           // bytes that nobody asked for
        }
        Leg served = leg;
        if (served == null) {
            return false;           // taken out of use while the bytes came
        }
        try {
            Head head = reader.response();
            byte[] body = reader.responseBody(head);
            boolean open = !head.closes(head.start[0]) && !MessageReader.lastsToTheEnd(head)
                    && !reader.hasBytes() && !served.isWriting();
            LegEnd end = end(head);
            HostLoad load = LoadText.read(head);
            if (!served.answered(end)) {
                return false;       // cut while the answer came; the end of the connection reports it
            }
            leg = null;
            side.answered(this, served, end, load, head, body, open);
            return open;
        } catch (BadMessage e) {
            LOG.log(Level.WARNING, "rubbish from {0}: {1}", new Object[] {route.endpoint(), e.getMessage()});
            served.answered(LegEnd.ERROR);
            return false;
        }
    }

    private static LegEnd end(Head head) throws BadMessage {
        String status = head.start[1];
        if (status.equals("200")) {
            return LegEnd.SERVED;
        }
        if (status.startsWith("4")) {
            return LegEnd.NOT_ACCEPTED;
        }
        boolean unseen = (status.equals("503") || status.equals("504")) && "1".equals(head.get("X-Rejected"));
        return unseen ? LegEnd.TURNED_AWAY : LegEnd.ERROR;
    }

    /** The leg that the connection still owed when it ended, or null. */
    Leg owed() {
        return leg;
    }
}
