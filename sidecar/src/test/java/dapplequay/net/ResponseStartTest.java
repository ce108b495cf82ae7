package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import dapplequay.http.Body;
import dapplequay.http.MessageReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(30)
class ResponseStartTest extends ClosesWhatItOpened {
    private static final long NOW_US = 5_000_000;

    /** Guards against a long response whose first bytes were held back until its request's time was over. */
    @ParameterizedTest
    @CsvSource({"500000,100", "60000,60", "0,1", "-40000,1"})
    void responseOfUnknownLengthIsNotWaitedForBeyondTheRequestsTime(long leftUs, int longestWaitMs) throws Exception {
        List<Integer> waitsMs = new ArrayList<>();
        ServerSocket listener = open(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        Socket socket = open(new Socket() {
            @Override
            public void setSoTimeout(int timeoutMs) throws SocketException {
                waitsMs.add(timeoutMs);
                super.setSoTimeout(timeoutMs);
            }
        });
        socket.connect(listener.getLocalSocketAddress());
        Socket host = open(listener.accept());
        host.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        MessageReader reader = new MessageReader(socket.getInputStream());
        Body body = reader.responseBody(reader.readResponseHead());
        ResponseStart start = ResponseStart.read(body, socket, () -> NOW_US, new BodyMemory(1 << 20), true,
                NOW_US + leftUs);
        assertThat(new String(start.bytes(), StandardCharsets.ISO_8859_1)).isEqualTo("hello");
        assertThat(waitsMs).allSatisfy(wait -> assertThat(wait).isLessThanOrEqualTo(longestWaitMs));
    }
}
