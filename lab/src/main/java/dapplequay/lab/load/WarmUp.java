package dapplequay.lab.load;

import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.util.List;

/**
 * Runs the generator for two seconds against a local null server, so that the JIT has compiled its code before
 * the load begins: in a cold process the sends of the first second are late by milliseconds.
 */
public final class WarmUp {
    private static final double RATE_PER_S = 6_000;
    private static final long DURATION_US = 2_000_000;

    private WarmUp() { }

    public static void run() throws IOException, InterruptedException {
        Profile profile = Profile.plain(RATE_PER_S, DURATION_US);
        try (NullServer server = new NullServer(1)) {
            Generator generator = new Generator(profile, Schedule.draw(profile, 1, 1), List.of(server.address()), 64);
            generator.start(EventLoop.nowUs());
            generator.await();
        }
    }
}
