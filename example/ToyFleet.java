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
    private static final String LIST_JSON = """
            {"rev":2,"all":%s,"targets":[%s]}""";
    private static final String TARGET_JSON = """
            {"uid":"s-%s","endpoint":"127.0.0.1:%d","az":"north","model":"toy","pod_group":1,\
            "state":"SERVING","capacity_hint":1.0,"boot_ms":0}""";

    public static void main(String[] args) throws IOException {
        startServer(9001, "one", 30);
        startServer(9002, "two", 60);
        startHttpServer(8500, exchange -> {
            boolean clientIsCurrent = String.valueOf(exchange.getRequestURI().getQuery()).startsWith("after=2&");
            if (clientIsCurrent) {
                sleep(20_000);      // the list never changes: the long poll times out
            }
            String targets = TARGET_JSON.formatted("one", 9001) + "," + TARGET_JSON.formatted("two", 9002);
            sendResponse(exchange, LIST_JSON.formatted(!clientIsCurrent, clientIsCurrent ? "" : targets));
        });
        System.out.println("servers on 9001 and 9002, discovery on 8500");
    }

    /** Starts a server that takes {@code workMs} for each request and reports its load in the response. */
    private static void startServer(int port, String name, int workMs) throws IOException {
        AtomicInteger inFlight = new AtomicInteger();
        startHttpServer(port, exchange -> {
            int currentInFlight = inFlight.incrementAndGet();
            exchange.getRequestBody().readAllBytes();
            sleep(workMs);
            exchange.getResponseHeaders().add("X-Load-Report", "inflight=" + currentInFlight + ",queue=0");
            sendResponse(exchange, "served by " + name + "\n");
            inFlight.decrementAndGet();
        });
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private static void startHttpServer(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        server.createContext("/", handler::handle);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    private static void sendResponse(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
