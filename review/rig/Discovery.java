import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Discovery, or the agent that holds its lists: answers GET /v1/servers with the whole list, and a watch once something
 * newer than its version exists or its wait is over.
 */
final class Discovery {
    private final Rig rig;
    private final ServerSocket listener;
    private int revision;
    private String list;

    /** {@code list}: the whole list, as JSON in discovery's form with this revision. */
    Discovery(Rig rig, int revision, String list) throws IOException {
        this.rig = rig;
        this.revision = revision;
        this.list = list;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(Rig.LOOPBACK, 0), 64);
        Rig.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void setList(int newRevision, String newList) {
        revision = newRevision;
        list = newList;
        notifyAll();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Rig.start("discovery connection", () -> serve(socket));
            }
        } catch (IOException e) {
            rig.note("discovery stopped: %s", e);
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        long after = -1;
        long waitMs = 0;
        int query = target.indexOf('?');
        for (String pair : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
            if (pair.startsWith("after=")) {
                after = Long.parseLong(pair.substring(6));
            } else if (pair.startsWith("wait_ms=")) {
                waitMs = Math.min(60_000, Long.parseLong(pair.substring(8)));
            }
        }
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (after >= revision) {
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[]}";
            }
            wait(leftMs);
        }
        return list;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Http http = new Http(socket.getInputStream());
            for (Http.Head head = http.readHead(null); head != null; head = http.readHead(null)) {
                rig.note("discovery is asked %s", head.startLine);
                byte[] body = answer(head.parts()[1]).getBytes(StandardCharsets.UTF_8);
                byte[] start = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
                byte[] message = new byte[start.length + body.length];
                System.arraycopy(start, 0, message, 0, start.length);
                System.arraycopy(body, 0, message, start.length, body.length);
                socket.getOutputStream().write(message);
                rig.note("discovery has written %d bytes", message.length);
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
