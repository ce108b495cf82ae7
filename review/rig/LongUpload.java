import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One upstream of ten hangs while clients send long requests: does each get its final answer? */
public final class LongUpload {
    private static final int UPSTREAMS = 10;
    /** Up to 32 MB are allowed. */
    private static final int[] BODY_BYTES = {6_000_000, 8_000_000, 10_000_000};
    /** Clients take seconds to write. */
    private static final double BYTES_PER_SECOND = 2_000_000;
    private static final int BUDGET_MS = 2000;
    private static final double HANG_FROM = 4;
    private static final double HANG_FOR = 17;
    /** Up to half a second after its time an answer only earns nothing; later, or never, the request is lost. */
    private static final double SLACK = 0.5;

    private final Rig rig;
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger untaken = new AtomicInteger();
    private int port;
    /** The upstream that was sent a request last: it is the one that hangs. */
    private volatile Upstream latest;

    private LongUpload(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            status = new LongUpload(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run() throws Exception {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Upstream(rig, "s-" + i, 256 * 1024, (upstream, id, body) -> {
                Rig.sleep(0.1);
                rig.note("upstream %s has run %s", upstream.uid, id);
                return id.getBytes(StandardCharsets.ISO_8859_1);
            }, (upstream, id, at) -> {
                rig.note("upstream %s is sent %s", upstream.uid, id);
                latest = upstream;
            }));
        }
        String list = Site.list(41, upstreams, Site.BASKET_ZONES, u -> "SERVING");
        Discovery discovery = new Discovery(rig, 41, list);
        port = Rig.freePort();
        rig.startSidecar("n1", Site.config("n1", port, discovery.address(), list, Site.basket(1)), port,
                discovery.address());
        if (!rig.awaitHealthy(port, 30)) {
            rig.note("the sidecar did not start");
            return 2;
        }
        double begin = rig.seconds();
        double end = begin + HANG_FROM + HANG_FOR - 5;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int number = i;
            clients.add(Rig.start("client", () -> client(number, end)));
        }
        Rig.sleep(HANG_FROM);
        Upstream hanging = latest;
        if (rig.trouble) {
            hanging.setFrozen(true);
            rig.note("upstream %s hangs", hanging.uid);
        }
        Rig.sleep(HANG_FOR);
        hanging.setFrozen(false);
        rig.note("no upstream hangs any more");
        for (Thread client : clients) {
            client.join(15_000);
        }
        rig.note("answered in time %d, lost %d, not written whole by the client %d", answered.get(), lost.get(),
                untaken.get());
        System.out.println("answered in time " + answered + ", no answer in time " + lost
                + ", not written whole by the client " + untaken);
        return lost.get() > 0 ? 1 : answered.get() < 10 ? 2 : 0;
    }

    private void client(int number, double until) {
        for (int i = 0; rig.seconds() < until; i++) {
            request(BODY_BYTES[i % BODY_BYTES.length]);
            Rig.sleep(0.3 + 0.05 * number);
        }
    }

    private void request(int size) {
        String id = rig.nextCallId();
        double writtenAt = -1;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 1000);
            socket.setTcpNoDelay(true);
            byte[] head = ("POST /place-order HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                    + "\r\nX-Caller: braeside-grocers\r\nX-Budget-Ms: " + BUDGET_MS + "\r\nIdempotency-Key: k" + id
                    + "\r\nContent-Length: " + size + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            double begun = rig.seconds();
            socket.getOutputStream().write(head);
            byte[] piece = new byte[64 * 1024];
            for (int left = size; left > 0; left -= Math.min(left, piece.length)) {
                double dueAt = begun + (size - left) / BYTES_PER_SECOND;
                Rig.sleep(Math.max(0, dueAt - rig.seconds()));
                socket.getOutputStream().write(piece, 0, Math.min(left, piece.length));
            }
            writtenAt = rig.seconds();
            rig.note("client has written %s, %d bytes, in %.3f s", id, size, writtenAt - begun);
            socket.setSoTimeout((int) (BUDGET_MS + SLACK * 1000));
            Http http = new Http(socket.getInputStream());
            Http.Head answer = http.readHead(null);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            byte[] body = http.readBody(answer, true);
            double took = rig.seconds() - writtenAt;
            boolean foreign = answer.parts()[1].equals("200")
                    && !new String(body, StandardCharsets.ISO_8859_1).equals(id);
            boolean late = took > BUDGET_MS / 1000.0 + SLACK;
            rig.note("client got %s for %s after %.3f s%s", answer.parts()[1], id, took, foreign ? ", FOREIGN" : "");
            (foreign || late ? lost : answered).incrementAndGet();
        } catch (SocketTimeoutException e) {
            rig.note("client got NO ANSWER for %s within %.3f s of its last byte", id, rig.seconds() - writtenAt);
            lost.incrementAndGet();
        } catch (IOException e) {
            rig.note("client of %s: %s, %s", id, writtenAt < 0 ? "request not written whole" : "LOST", e);
            (writtenAt < 0 ? untaken : lost).incrementAndGet();
        }
    }
}
