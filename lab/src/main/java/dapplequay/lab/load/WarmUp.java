package dapplequay.lab.load;

import dapplequay.lab.loop.EventLoop;
import java.io.IOException;
import java.util.List;

/**
 * Runs the generator for a moment against a server of its own that answers at once, so that its code is compiled
 * when a load begins: in a cold process the first second's sends are late by milliseconds.
 */
public final class WarmUp {
    private static final double RATE = 6_000;
    private static final long FOR_US = 2_000_000;

    private WarmUp() { }

    public static void run() throws IOException, InterruptedException {
        Profile profile = Profile.plain(RATE, FOR_US);
        try (NullServer server = new NullServer(1)) {
            Generator generator = new Generator(profile, Schedule.draw(profile, 1, 1), List.of(server.address()), 64);
            generator.start(EventLoop.nowUs());
            generator.await();
        }
    }
}
