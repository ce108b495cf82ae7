package dapplequay.lab.cli;

import dapplequay.lab.experiment.ExperimentSpec;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Runs the demo experiment: a small fleet with sidecars, first without faults, then with faults. */
public final class DemoCommand implements Command {
    @Option(name = "--out", metaVar = "DIR")
    private String out;

    @Override
    public int run() throws Exception {
        Path folder = out != null ? Path.of(out) : Files.createTempDirectory("dapplequay-demo-");
        Files.createDirectories(folder);
        Path file = folder.resolve("demo.toml");
        try (InputStream text = DemoCommand.class.getResourceAsStream("/dapplequay/lab/demo.toml")) {
            if (text == null) {
                throw new IOException("the demo's file is not in the jar");
            }
            Files.write(file, text.readAllBytes());
        }
        System.err.println("9 hosts and 4 sidecars for 24 seconds; trouble from the ninth on");
        return RunCommand.runAndReport(ExperimentSpec.read(file, null), folder, null);
    }
}
