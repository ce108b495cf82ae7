import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Two toy servers and a toy discovery for example/config.json. Start it with: java example/ToyFleet.java */
public final class ToyFleet {
    private static final String LIST = """
            {"rev":2,"all":%s,"targets":[%s]}""";
    private static final String TARGET = """
            {"uid":"s-%s","endpoint":"127.0.0.1:%d","az":"north","model":"toy","pod_group":1,\
            "state":"SERVING","capacity_hint":1.0,"boot_ms":0}""";

    public static void main(String[] args) throws IOException {
        toy(9001, "one", 30);
        toy(9002, "two", 60);
        serve(8500, exchange -> {
            boolean known = String.valueOf(exchange.getRequestURI().getQuery()).startsWith("after=2&");
            if (known) {
                pause(20_000);      // nothing ever changes here: the watch waits its time out
            }
            String targets = TARGET.formatted("one", 9001) + "," + TARGET.formatted("two", 9002);
            answer(exchange, LIST.formatted(!known, known ? "" : targets));
        });
        System.out.println("servers on 9001 and 9002, discovery on 8500");
    }

    /** Works so many milliseconds on each request, and tells its load with the answer. */
    private static void toy(int port, String name, int workMs) throws IOException {
        AtomicInteger inFlight = new AtomicInteger();
        serve(port, exchange -> {
            int now = inFlight.incrementAndGet();
            exchange.getRequestBody().readAllBytes();
            pause(workMs);
            exchange.getResponseHeaders().add("X-Load-Report", "inflight=" + now + ",queue=0");
            answer(exchange, "served by " + name + "\n");
            inFlight.decrementAndGet();
        });
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private static void serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        server.createContext("/", handler::handle);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
