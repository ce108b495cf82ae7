package dapplequay.lab.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplequay.lab.fleet.FaultScript;
import dapplequay.lab.fleet.Fleet;
import dapplequay.lab.loop.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Runs a fleet without sidecars until SIGTERM. Fault times are relative to its start. */
public final class FleetCommand implements Command {
    @Argument(required = true, metaVar = "FILE.toml")
    private String file;

    @Option(name = "--seed", metaVar = "N", usage = "for the draws of kinds, faults and noise")
    private long seed = 1;

    @Override
    public int run() throws Exception {
        LabFile.Parsed parsed = LabFile.read(Path.of(file), seed);
        if (parsed.fleet() == null) {
            throw new dapplequay.lab.text.InvalidFileException(file, 1, "fleet", "is missing");
        }
        CountDownLatch shutdownRequested = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            shutdownRequested.countDown();
            try {
                ended.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "ending"));
        try (Fleet fleet = new Fleet(parsed.fleet(), seed)) {
            fleet.log().recordCountsOnly();
            fleet.scheduleFaults(FaultScript.draw(parsed.fleet(), parsed.faults(), seed), EventLoop.nowUs());
            System.out.println(firstLine(fleet));
            System.out.flush();
            shutdownRequested.await();
        } finally {
            ended.countDown();
        }
        return OK;
    }

    private static String firstLine(Fleet fleet) {
        ObjectNode line = new ObjectMapper().createObjectNode();
        line.put("discovery", fleet.discoveryAt(0));
        ArrayNode views = line.putArray("views");
        for (int i = 0; i < fleet.spec().views(); i++) {
            views.add(fleet.discoveryAt(i));
        }
        ArrayNode hosts = line.putArray("hosts");
        fleet.endpoints(0).forEach(hosts::add);
        return line.toString();
    }
}
