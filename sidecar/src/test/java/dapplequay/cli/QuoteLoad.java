package dapplequay.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A client that sends quote requests to a sidecar one after the other, and records how each ended. */
final class QuoteLoad {
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    final Queue<String> served = new ConcurrentLinkedQueue<>();
    final Queue<String> unserved = new ConcurrentLinkedQueue<>();
    private final URI uri;
    private final long pauseMs;
    private volatile boolean stopped;

    /** Sends to the sidecar behind the socket; the last part of the path tells servers the sidecar's number. */
    QuoteLoad(ServerSocketChannel listeningSocket, int sidecar, long pauseMs) throws IOException {
        int port = ((InetSocketAddress) listeningSocket.getLocalAddress()).getPort();
        uri = URI.create("http://127.0.0.1:" + port + "/quote/" + sidecar);
        this.pauseMs = pauseMs;
    }

    /** Sends requests until {@link #stop}. */
    Void run() throws InterruptedException {
        while (!stopped) {
            HttpRequest request = HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).headers("X-Caller", "shop-a",
                    "X-Budget-Ms", "1000", "X-Call-Id", Long.toHexString(System.nanoTime())).build();
            try {
                int status = CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
                (status == 200 ? served : unserved).add(String.valueOf(status));
            } catch (IOException e) {
                unserved.add(e.toString());
            }
            Thread.sleep(pauseMs);
        }
        return null;
    }

    void stop() {
        stopped = true;
    }
}
