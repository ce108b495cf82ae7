package dapplequay.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import dapplequay.lab.report.Compare;
import dapplequay.lab.report.ReportHtml;
import dapplequay.lab.report.ReportJson;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Compares two reports: prints a table, and with {@code --out} writes a page that shows both. */
public final class CompareCommand implements Command {
    @Argument(index = 0, required = true, metaVar = "DIR")
    private String firstFolder;

    @Argument(index = 1, required = true, metaVar = "DIR")
    private String secondFolder;

    @Option(name = "--out", metaVar = "DIR")
    private String out;

    @Override
    public int run() throws Exception {
        JsonNode first = ReportJson.read(Path.of(firstFolder));
        JsonNode second = ReportJson.read(Path.of(secondFolder));
        System.out.print(Compare.text(first, firstFolder, second, secondFolder));
        if (out != null) {
            ReportHtml.compare(first, firstFolder, second, secondFolder, Path.of(out));
            System.out.println("page: " + Path.of(out).resolve("compare.html").toAbsolutePath());
        }
        return OK;
    }
}
