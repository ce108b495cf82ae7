package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a client's connection is closed while more bytes arrive. */
@Timeout(90)
class LingeringCloseTest extends ClosesWhatItOpened {
    private volatile Host.Client sender;

    private Host host() throws IOException {
        return open(new Host((head, seen) -> Host.ok("done")));
    }

    private static Host.Client clientAfterOneRequest(ClientRig rig) throws IOException {
        Host.Client client = rig.client();
        client.send(ClientRig.pay("first"));
        assertThat(client.answer().status()).isEqualTo(200);
        return client;
    }

    private static void closeConnections(ClientRig rig, String cause) {
        if (cause.equals("drain")) {
            rig.lifecycle.drain();
        } else if (cause.equals("ending")) {
            rig.lifecycle.end(0);
        }
    }

    /** Closing the socket with unread bytes reset the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"idle", "drain", "ending"})
    void requestThatCrossesTheCloseIsNeitherServedNorReset(String cause) throws Exception {
        Host host = host();
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks() {
            @Override
            void beforeClose() throws IOException {
                sender.send(ClientRig.pay("crossing", 900, 8_000));
            }
        }, 100, host.port()));
        sender = rig.client();
        sender.send(ClientRig.pay("first"));
        assertThat(host.next().head().get("Idempotency-Key")).isEqualTo("first");
        assertThat(sender.answer().status()).isEqualTo(200);
        closeConnections(rig, cause);
        assertThat(sender.atEnd()).as("orderly end of the stream without a reset").isTrue();
        sender.send("more that nobody reads");
        sender.close();
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        assertThat(host.received).as("requests sent upstream after the close").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"idle", "ending"})
    void socketIsClosedEvenIfTheClientNeverCloses(String cause) throws Exception {
        Host host = host();
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), 100, host.port()));
        Host.Client client = clientAfterOneRequest(rig);
        closeConnections(rig, cause);
        assertThat(client.atEnd()).isTrue();
        client.send(ClientRig.pay("late"));
        assertThat(rig.accepted().isClosedInTime()).isTrue();
        assertThat(host.received).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"drain", "ending"})
    void partlyReadRequestIsServedAsTheLastOneDuringADrain(String cause) throws Exception {
        Host host = host();
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), 100, host.port()));
        Host.Client partial = clientAfterOneRequest(rig);
        Host.Client idle = clientAfterOneRequest(rig);
        ClientRig.Accepted accepted = rig.accepted();
        int readBefore = accepted.bytesRead.get();
        String request = ClientRig.pay("half");
        partial.send(request.substring(0, 40));
        while (accepted.bytesRead.get() < readBefore + 40) {
            Thread.sleep(1);
        }
        closeConnections(rig, cause);
        assertThat(idle.atEnd()).as("idle connections are closed").isTrue();
        partial.send(request.substring(40));
        Host.Answer answer = partial.answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.head().closesConnection("HTTP/1.1")).isTrue();
        assertThat(partial.atEnd()).isTrue();
    }

    /**
     * The client sends more than is buffered behind a request. That input is discarded, so the connection closes after
     * the response.
     */
    @Test
    void responseToAClientThatFloodsInputIsCompleteAndTheLast() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        Host host = open(new Host((head, seen) -> {
            sent.await();
            return Host.ok("done");
        }));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), 100, host.port()));
        Host.Client client = rig.client();
        client.send(ClientRig.pay("first"));
        host.next();
        Host.daemon(() -> {
            client.socket.getOutputStream().write(new byte[3 << 20]);   // far more than the socket buffers hold
            sent.countDown();
        });
        Host.Answer answer = client.answer();
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.head().closesConnection("HTTP/1.1")).isTrue();
        assertThat(client.atEnd()).isTrue();
    }

    /** It was reset 5 s after the response, and a client that reads only after it has sent all never saw that. */
    @Test
    void clientMaySendTheRestOfALongRequestAfterItsEarlyResponse() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        StreamingHost host = open(new StreamingHost((head, reader, socket) -> {
            begun.countDown();
            reader.readRequestBody(head);
        }, new ConcurrentLinkedQueue<>()));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), 100, host.port()));
        Host.Client client = rig.client();
        client.send(ClientRig.pay("long", 15_000, 0).replace("Content-Length: 0", "Content-Length: 4000000"));
        client.send("x".repeat(100_000));
        begun.await();
        rig.failHeldRequests(0);
        assertThat(client.answer().status()).isIn(503, 504);
        rig.speedUpClock(10);
        for (int i = 0; i < 20; i++) {
            Thread.sleep(100);
            client.send("x".repeat(64_000));
        }
        assertThat(rig.accepted().isClosedInTime()).as("closed once the client has stopped").isTrue();
    }

    /** At the connection limit it was closed before idle connections, in the middle of its first request. */
    @Test
    void clientWithinItsFirstRequestIsNotClosedToMakeRoom() throws Exception {
        int maxConnections = 12;   // three connections without a request would be a flood
        Host host = host();
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), maxConnections, host.port()));
        rig.stopClock(0);
        List<Host.Client> idle = new ArrayList<>();
        for (int i = 0; i < maxConnections - 1; i++) {
            idle.add(clientAfterOneRequest(rig));
            rig.accepted();
            rig.stopClock(UpstreamPool.SETTLE_US);   // else the next request waits for the host's connection
        }
        Host.Client partial = rig.client();
        String request = ClientRig.pay("half");
        partial.send(request.substring(0, 40));
        ClientRig.Accepted accepted = rig.accepted();
        while (accepted.bytesRead.get() < 40) {
            Thread.sleep(1);
        }
        assertThat(idle.get(0).atEnd()).as("one idle connection is closed to make room").isTrue();
        rig.stopClock(60_000);   // old enough to be closed
        idle.get(0).close();
        Host.Client next = rig.client();
        assertThat(idle.get(1).atEnd()).isTrue();
        next.send(ClientRig.pay("next"));
        assertThat(next.answer().status()).isEqualTo(200);
        rig.stopClock(UpstreamPool.SETTLE_US);
        partial.send(request.substring(40));
        assertThat(partial.answer().status()).isEqualTo(200);
    }
}
