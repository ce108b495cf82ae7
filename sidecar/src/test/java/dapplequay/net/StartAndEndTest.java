package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lifecycle.ShutdownSchedule;
import dapplequay.settings.Json;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A shutdown that crosses the start, and a timekeeper whose own error report fails. */
@Timeout(60)
class StartAndEndTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final ShutdownSchedule SHUTDOWN = new ShutdownSchedule(100_000, 200_000, 20_000_000);
    private final AtomicInteger calls = new AtomicInteger();

    private static Sidecar.Options options(int... ports) throws Exception {
        Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < ports.length; i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(ports[i]).append("\",\"az\":\"north\",\"pod_group\":1,\"state\":\"SERVING\","
                            + "\"capacity_hint\":1,\"boot_ms\":0}");
        }
        return new Sidecar.Options(ANY, null, new InetSocketAddress(ANY.getAddress(), 1), 7, 1, 1024, 192,
                Json.parse(("{\"rev\":5,\"all\":true,\"targets\":[" + targets + "]}").getBytes()),
                SettingsReader.of(example.get("settings"), "example"), false);
    }

    private String quote() {
        return "GET /quote/1 HTTP/1.1\r\nX-Call-Id: " + Integer.toHexString(calls.incrementAndGet())
                + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: 900\r\n\r\n";
    }

    /** The kernel accepts clients as soon as the listening socket is bound, so a shutdown must wait for it to open. */
    @Test
    void shutdownDuringTheOpeningOfTheListeningSocketAnswersAcceptedClients() throws Exception {
        CountDownLatch bound = new CountDownLatch(1);
        CountDownLatch openMayReturn = new CountDownLatch(1);
        InetSocketAddress[] address = new InetSocketAddress[1];
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            Sidecar sidecar = new Sidecar(options(host.port()), Sidecar.ListPersistence.NONE, () -> {
                ListeningSocket socket = new ListeningSocket.Owned(ANY);
                address[0] = socket.address();
                bound.countDown();
                try {
                    openMayReturn.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                return socket;
            });
            Thread startThread = new Thread(() -> start(sidecar));
            startThread.start();
            bound.await();
            try (Host.Client client = new Host.Client(address[0])) {
                client.send(quote());
                Thread shutdownThread = new Thread(() -> end(sidecar));
                shutdownThread.start();
                // The shutdown waits for the thread that opens the socket, or has found no socket and returned.
                while (shutdownThread.isAlive() && !isBlockedBy(shutdownThread, startThread)) {
                    Thread.sleep(1);
                }
                assertThat(shutdownThread.isAlive()).as("the shutdown waits, or the process would have ended").isTrue();
                openMayReturn.countDown();
                assertThat(client.answer().status()).isEqualTo(200);
                shutdownThread.join();
            }
        }
    }

    private static boolean isBlockedBy(Thread blocked, Thread owner) {
        ThreadInfo now = ManagementFactory.getThreadMXBean().getThreadInfo(blocked.getId());
        return now != null && now.getLockOwnerId() == owner.getId();
    }

    private static void start(Sidecar sidecar) {
        try {
            sidecar.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void end(Sidecar sidecar) {
        try {
            sidecar.end(SHUTDOWN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A listening socket whose first accept begins only once the socket is told to stop, in whichever way. */
    private static final class DelayedListeningSocket implements ListeningSocket {
        private final ListeningSocket delegate = new ListeningSocket.Owned(ANY);
        private final CountDownLatch stopped = new CountDownLatch(1);

        DelayedListeningSocket() throws IOException { }

        @Override
        public InetSocketAddress address() {
            return delegate.address();
        }

        @Override
        public Socket accept() throws IOException {
            try {
                stopped.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return delegate.accept();
        }

        @Override
        public boolean awaitClient(int maxWaitMs) throws IOException {
            return delegate.awaitClient(maxWaitMs);
        }

        @Override
        public boolean isShared() {
            return false;
        }

        @Override
        public void stopAccepting() {
            delegate.stopAccepting();
            stopped.countDown();
        }

        @Override
        public void prepareToStop() {
            delegate.prepareToStop();
        }

        @Override
        public void stopOnceQueueEmpty() {
            delegate.stopOnceQueueEmpty();
            stopped.countDown();
        }

        @Override
        public boolean isStopped() {
            return delegate.isStopped();
        }
    }

    /** The socket was closed after a time, and with it clients that the kernel had accepted but the sidecar had not. */
    @Test
    void clientsInTheBacklogAreAnsweredHoweverLateTheAcceptingThreadIs() throws Exception {
        try (Host host = new Host((head, request) -> Host.ok("done"))) {
            Sidecar sidecar = new Sidecar(options(host.port()), Sidecar.ListPersistence.NONE,
                    DelayedListeningSocket::new);
            sidecar.start();
            try (Host.Client first = new Host.Client(sidecar.address());
                    Host.Client second = new Host.Client(sidecar.address())) {
                first.send(quote());
                second.send(quote());
                Host.daemon(() -> sidecar.end(SHUTDOWN));
                for (Host.Client client : List.of(first, second)) {
                    assertThat(client.answer().status()).isEqualTo(200);
                }
            }
        }
    }

    @Test
    void shutdownBeforeTheStartKeepsTheListeningSocketClosed() throws Exception {
        AtomicBoolean opened = new AtomicBoolean();
        Sidecar sidecar = new Sidecar(options(1), Sidecar.ListPersistence.NONE, () -> {
            opened.set(true);
            return new ListeningSocket.Owned(ANY);
        });
        sidecar.end(SHUTDOWN);
        sidecar.start();
        assertThat(opened).isFalse();
        sidecar.end(SHUTDOWN);
    }

    /** The one thread that runs all deadlines ended when the logging of its error failed, too. */
    @Test
    void timekeeperSurvivesAnErrorThatCannotBeLogged() throws Exception {
        CountDownLatch failed = new CountDownLatch(2);
        Handler failingHandler = new Handler() {
            @Override
            public void publish(LogRecord line) {
                if (Thread.currentThread().getName().equals("timekeeper") && failed.getCount() > 0) {
                    failed.countDown();
                    throw new OutOfMemoryError("made up");
                }
            }

            @Override
            public void flush() { }

            @Override
            public void close() { }
        };
        Logger log = Logger.getLogger(Sidecar.class.getName());
        log.addHandler(failingHandler);
        try {
            // No host listens there: the facade logs that the zone is lost, in the timekeeper's tick.
            Sidecar sidecar = new Sidecar(options(1, 2));
            sidecar.start();
            try (Host.Client idle = new Host.Client(sidecar.address());
                    Host.Client client = new Host.Client(sidecar.address())) {
                for (int i = 0; i < 1_000 && failed.getCount() > 0; i++) {
                    client.send(quote());
                    assertThat(client.answer().status()).isEqualTo(503);
                }
                assertThat(failed.await(20, TimeUnit.SECONDS)).as("logging the line and the error failed").isTrue();
                assertThat(idle.atEnd()).as("deadlines still expire").isTrue();
            }
            sidecar.end(SHUTDOWN);
        } finally {
            log.removeHandler(failingHandler);
        }
    }
}
