package dapplequay.lab.cli;

import dapplequay.lab.load.NullServer;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** Runs a server that does no work, for measuring the load generator itself, until SIGTERM. */
public final class NullCommand implements Command {
    @Option(name = "--threads", metaVar = "N")
    private int threads = 2;

    @Override
    public int run() throws Exception {
        try (NullServer server = new NullServer(threads)) {
            System.out.println("{\"address\":\"127.0.0.1:" + server.address().getPort() + "\"}");
            System.out.flush();
            new CountDownLatch(1).await();
        }
        return OK;
    }
}
