package dapplequay.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplequay.lab.experiment.ExperimentSpec;
import dapplequay.lab.experiment.Runner;
import dapplequay.lab.report.ReportHtml;
import dapplequay.lab.report.ReportJson;
import dapplequay.lab.report.Table;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Runs an experiment and writes its report. */
public final class RunCommand implements Command {
    @Argument(required = true, metaVar = "FILE.toml")
    private String file;

    @Option(name = "--out", required = true, metaVar = "DIR")
    private String out;

    @Option(name = "--seed", metaVar = "N", usage = "in place of the file's")
    private Long seed;

    @Option(name = "--repeat", metaVar = "N", usage = "in place of the file's")
    private Integer repeat;

    @Override
    public int run() throws Exception {
        return runAndReport(ExperimentSpec.read(Path.of(file), seed), Path.of(out), repeat);
    }

    static int runAndReport(ExperimentSpec spec, Path out, Integer repeat) throws Exception {
        Files.createDirectories(out);
        Terminal terminal = new Terminal();
        List<Runner.FinishedRun> runs = new Runner(spec, Project.root(), out, terminal::progress)
                .run(repeat == null ? spec.repeat() : Math.max(1, repeat));
        terminal.done();
        ObjectNode report = ReportJson.experiment(spec, runs);
        ReportJson.write(report, out);
        ReportHtml.write(report, out);
        System.out.print(Table.of(report));
        System.out.println("report: " + out.resolve("report.html").toAbsolutePath());
        if (report.path("behind").asBoolean()) {
            System.err.println("dapplequay lab: the generator fell behind: " + report.path("behind_why").asText());
            return GENERATOR_BEHIND;
        }
        return OK;
    }
}
