package dapplequay.lab.cli;

import dapplequay.lab.text.InvalidFileException;
import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line of the laboratory's jar. */
public final class LabMain {
    private static final String USAGE = """
            usage: ./dapplequay demo [--out DIR]
                   ./dapplequay lab fleet FILE.toml
                   ./dapplequay lab load --target HOST:PORT [--rate R] [--for 10s] [--profile FILE.toml]
                                         [--connections-max N] [--seed N] --out DIR
                   ./dapplequay lab run FILE.toml --out DIR [--seed N] [--repeat N]
                   ./dapplequay lab compare DIR DIR [--out DIR]
                   ./dapplequay lab merge DIR DIR... --out DIR
                   ./dapplequay lab null [--threads N]
                   ./dapplequay lab check FILE.toml
            """;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({@SubCommand(name = "demo", impl = DemoCommand.class),
            @SubCommand(name = "fleet", impl = FleetCommand.class),
            @SubCommand(name = "load", impl = LoadCommand.class),
            @SubCommand(name = "run", impl = RunCommand.class),
            @SubCommand(name = "compare", impl = CompareCommand.class),
            @SubCommand(name = "merge", impl = MergeCommand.class),
            @SubCommand(name = "null", impl = NullCommand.class),
            @SubCommand(name = "check", impl = CheckCommand.class)})
    private Command command;

    private LabMain() { }

    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
        System.exit(run(args));
    }

    static int run(String... args) {
        LabMain main = new LabMain();
        try {
            new CmdLineParser(main).parseArgument(args);
            return main.command.run();
        } catch (CmdLineException e) {
            System.err.println("dapplequay lab: " + e.getMessage());
            System.err.print(USAGE);
            return Command.BAD_USAGE;
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return Command.BAD_FILE;
        } catch (IOException e) {
            System.err.println("dapplequay lab: " + e.getMessage());
            return Command.BAD_FILE;
        } catch (Exception e) {
            System.err.println("dapplequay lab: " + e);
            return 1;
        }
    }
}
