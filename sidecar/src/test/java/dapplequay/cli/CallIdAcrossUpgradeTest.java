package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.MessageReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an id that runs at both processes of an upgrade. */
@Timeout(60)
class CallIdAcrossUpgradeTest extends ClosesWhatItOpened {
    private static final String REQUEST = "GET /quote/1 HTTP/1.1\r\nX-Call-Id: 77\r\nX-Caller: shop-a\r\n"
            + "X-Budget-Ms: 900\r\n\r\n";

    @TempDir
    private Path folder;
    private final AtomicInteger runs = new AtomicInteger();

    private static String status(ServerSocketChannel platformSocket) throws Exception {
        try (Socket client = new Socket()) {
            client.connect((InetSocketAddress) platformSocket.getLocalAddress());
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
            return new MessageReader(client.getInputStream()).readResponseHead().startLine[1];
        }
    }

    @Test
    void idThatRanAtThePredecessorIsNotRunAgainByTheSuccessor() throws Exception {
        ServerSocketChannel platformSocket = open(SidecarProcess.platformSocket());
        ScriptedServers servers = open(new ScriptedServers(1, (server, head) -> {
            runs.incrementAndGet();
            return "";
        }));
        Path config = Files.writeString(folder.resolve("config.json"), ExampleConfig.of(1, servers.ports()));
        SidecarProcess predecessor = open(new SidecarProcess(config, platformSocket, SidecarProcess.freePort()));
        predecessor.awaitReady();
        assertThat(status(platformSocket)).isEqualTo("200");
        SidecarProcess successor = open(new SidecarProcess(config, platformSocket, SidecarProcess.freePort()));
        successor.awaitReady();
        predecessor.signal("TERM");
        predecessor.process.waitFor();
        assertThat(status(platformSocket)).isEqualTo("409");
        assertThat(runs).hasValue(1);
    }
}
