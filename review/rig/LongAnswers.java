import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many answers are long, and their clients take seconds to read them: does each request get its whole answer? */
public final class LongAnswers {
    private static final int UPSTREAMS = 10;
    private static final int BUDGET_MS = 2000;
    /** Up to half a second after its time an answer only earns nothing; later, or never, the request is lost. */
    private static final double SLACK = 0.5;
    private static final int LONG_CLIENTS = 300;
    private static final int SHORT_CLIENTS = 20;
    private static final int LONG_BYTES = 2_000_000;
    private static final int SHORT_BYTES = 1_000;
    private static final int CHUNK_BYTES = 16_000;
    private static final int READ_BYTES = 16_000;
    /** Reading a long answer takes 6 s. */
    private static final double PAUSE_PER_READ = 0.048;
    private static final double LONG_FROM = 2;
    private static final double LONG_FOR = 16;
    private static final double CALM_AFTER = 6;

    private final Rig rig;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger untaken = new AtomicInteger();
    private int port;

    private LongAnswers(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            status = new LongAnswers(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private int run() throws Exception {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Upstream upstream = new Upstream(rig, "s-" + i, 0, (u, id, body) -> {
                Rig.sleep(0.1);
                rig.note("upstream %s has run %s", u.uid, id);
                byte[] answer = new byte[body.length > 0 && body[0] == 'L' ? LONG_BYTES : SHORT_BYTES];
                System.arraycopy(id.getBytes(StandardCharsets.ISO_8859_1), 0, answer, 0, id.length());
                return answer;
            }, null);
            upstream.chunkBytes = CHUNK_BYTES;
            upstreams.add(upstream);
        }
        String list = Site.list(41, upstreams, Site.BASKET_ZONES, u -> "SERVING");
        Discovery discovery = new Discovery(rig, 41, list);
        port = Rig.freePort();
        Process sidecar = rig.startSidecar("n1",
                Site.config("n1", port, discovery.address(), list, Site.basket(1)), port, discovery.address());
        if (!rig.awaitHealthy(port, 30)) {
            rig.note("the sidecar did not start");
            return 2;
        }
        double longFrom = rig.seconds() + LONG_FROM;
        double longUntil = longFrom + LONG_FOR;
        double end = longUntil + 2 + PAUSE_PER_READ * LONG_BYTES / READ_BYTES + CALM_AFTER;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            double from = rig.seconds() + 0.05 * i;
            clients.add(Rig.start("client", () -> client('S', from, end)));
        }
        for (int i = 0; i < LONG_CLIENTS; i++) {
            double from = longFrom + 3.0 * i / LONG_CLIENTS;
            clients.add(Rig.start("client", () -> client(rig.trouble ? 'L' : 'S', from, longUntil)));
        }
        rig.note("%d clients ask for %s answers from %.1f s to %.1f s, and %d for short ones up to %.1f s", LONG_CLIENTS,
                rig.trouble ? "long" : "short", longFrom, longUntil, SHORT_CLIENTS, end);
        for (Thread client : clients) {
            client.join();
        }
        noteMemory(sidecar);
        boolean alive = sidecar.isAlive();
        String result = String.format("served %d, refused %d, failed %d, no answer %d, cut off %d, connection not accepted"
                + " or closed unread %d; the sidecar %s", served.get(), refused.get(), failed.get(), lost.get(), cut.get(),
                untaken.get(), alive ? "runs" : "has ended");
        rig.note("%s", result);
        System.out.println(result);
        return lost.get() + cut.get() > 0 || !alive ? 1 : served.get() < 100 ? 2 : 0;
    }

    private void noteMemory(Process sidecar) {
        try {
            Files.readAllLines(Path.of("/proc/" + sidecar.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmHWM") || line.startsWith("Threads"))
                    .forEach(line -> rig.note("sidecar: %s", line));
        } catch (IOException e) {
            rig.note("sidecar: no figures, %s", e);
        }
    }

    private void client(char kind, double from, double until) {
        Rig.sleep(Math.max(0, from - rig.seconds()));
        while (rig.seconds() < until) {
            String id = rig.nextCallId();
            double dueAt = rig.seconds() + BUDGET_MS / 1000.0 + SLACK;
            // A connection that is closed with no answer may have crossed the request: it is sent once more.
            if (!request(kind, id, dueAt) && !request(kind, id, dueAt)) {
                untaken.incrementAndGet();
            }
            Rig.sleep(1);
        }
    }

    /** Returns false if the connection was refused or closed before the first byte of an answer. */
    private boolean request(char kind, String id, double dueAt) {
        boolean begun = false;
        boolean written = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 1000);
            socket.setTcpNoDelay(true);
            long leftMs = Math.max(1, (long) ((dueAt - SLACK - rig.seconds()) * 1000));
            socket.getOutputStream().write(("POST /place-order HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                    + "\r\nX-Caller: braeside-grocers\r\nX-Budget-Ms: " + leftMs + "\r\nIdempotency-Key: k" + id
                    + "\r\nContent-Length: 1\r\n\r\n" + kind).getBytes(StandardCharsets.ISO_8859_1));
            written = true;
            rig.note("client has sent %c %s", kind, id);
            socket.setSoTimeout((int) Math.max(1, (dueAt - rig.seconds()) * 1000));
            Http http = new Http(socket.getInputStream());
            Http.Head answer = http.readHead(null);
            if (answer == null) {
                rig.note("client of %c %s: closed with no answer", kind, id);
                return false;
            }
            begun = true;
            String status = answer.parts()[1];
            if (!status.equals("200")) {
                rig.note("client of %c %s: %s", kind, id, answer.startLine);
                (status.equals("503") ? refused : failed).incrementAndGet();
                return true;
            }
            socket.setSoTimeout(15_000);
            int count = readSlowly(http, answer);
            if (count != (kind == 'L' ? LONG_BYTES : SHORT_BYTES)) {
                throw new IOException("answer of " + count + " bytes");
            }
            rig.note("client of %c %s: 200, whole", kind, id);
            served.incrementAndGet();
        } catch (SocketTimeoutException e) {
            if (!written) {
                rig.note("client of %c %s: not connected", kind, id);
                return false;
            }
            rig.note("client of %c %s: %s", kind, id, begun ? "answer STOOD STILL for 15 s"
                    : "NO ANSWER in its time and half a second");
            (begun ? cut : lost).incrementAndGet();
        } catch (IOException e) {
            if (!begun) {
                rig.note("client of %c %s: %s", kind, id, e);
                return false;
            }
            rig.note("client of %c %s: answer CUT OFF, %s", kind, id, e);
            cut.incrementAndGet();
        }
        return true;
    }

    /** Reads an answer in chunks, or of a length, at the clients' pace; returns the length of its body. */
    private int readSlowly(Http http, Http.Head answer) throws IOException {
        String length = answer.get("Content-Length");
        int count = 0;
        int sinceP = 0;
        while (true) {
            long size = length != null ? Long.parseLong(length) : Long.parseLong(http.readLine().split(";")[0].strip(), 16);
            byte[] piece = new byte[READ_BYTES];
            InputStream in = http.raw();
            for (long left = size; left > 0; ) {
                int n = in.read(piece, 0, (int) Math.min(piece.length, left));
                if (n < 0) {
                    throw new IOException("end of the stream after " + count + " bytes");
                }
                left -= n;
                count += n;
                sinceP += n;
                if (sinceP >= READ_BYTES) {
                    sinceP -= READ_BYTES;
                    Rig.sleep(PAUSE_PER_READ);
                }
            }
            if (length != null) {
                return count;
            }
            http.readLine();
            if (size == 0) {
                return count;
            }
        }
    }
}
