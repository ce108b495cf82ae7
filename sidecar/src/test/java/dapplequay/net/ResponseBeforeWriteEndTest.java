package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.ClosesWhatItOpened;
import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against connections that are given up as the response was read before the end of the write was recorded. */
@Timeout(60)
class ResponseBeforeWriteEndTest extends ClosesWhatItOpened {
    private static final int REQUESTS = 4;
    /** How much later than the response's arrival the writing thread goes on. */
    private static final int WRITER_DELAY_MS = 10;

    /** A connection to a host whose writing thread goes on only after the response has arrived. */
    private final class SlowlyReturningSocket extends Socket {
        private final Semaphore arrived = new Semaphore(0);

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read(byte[] into, int from, int length) throws IOException {
                    int count = in.read(into, from, length);
                    arrived.release();
                    return count;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(super.getOutputStream()) {
                @Override
                public void write(byte[] bytes) throws IOException {
                    arrived.drainPermits();
                    out.write(bytes);
                    try {
                        // The thread of a new connection writes first and then reads.
                        boolean isReader = Thread.currentThread().getName().startsWith("upstream");
                        if (!isReader && arrived.tryAcquire(Host.TIMEOUT_S, TimeUnit.SECONDS)) {
                            Thread.sleep(WRITER_DELAY_MS);
                        }
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }
            };
        }
    }

    @Test
    void connectionIsReusedThoughTheResponseCameBeforeTheEndOfTheWriteWasRecorded() throws Exception {
        Host host = open(new Host((head, request) -> Host.ok("done")));
        ClientRig rig = open(new ClientRig(new ClientRig.Hooks(), 100, SlowlyReturningSocket::new, host.port()));
        Host.Client client = rig.client();
        Set<Socket> used = new HashSet<>();
        for (int i = 0; i < REQUESTS; i++) {
            client.send(ClientRig.pay("k" + i));
            assertThat(client.answer().status()).isEqualTo(200);
            used.add(host.next().socket());
        }
        assertThat(used).hasSize(1);
    }
}
