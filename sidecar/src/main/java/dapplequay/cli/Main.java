package dapplequay.cli;

import dapplequay.benchlink.SimHost;
import dapplequay.net.Sidecar;
import dapplequay.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line of the jar. */
public final class Main {
    static final int BAD_USAGE = 2;
    static final int BAD_CONFIG = 3;
    /** For the last lines of the log, which whoever reads it may take slowly. */
    private static final long LAST_LINES_MS = 50;

    /** Of the process, as the signal is; null where no sidecar is to be started. */
    private static HangupSignal hangup;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({@SubCommand(name = "serve", impl = Serve.class),
            @SubCommand(name = "simhost", impl = Simulate.class),
            @SubCommand(name = "check-config", impl = CheckConfig.class),
            @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    /** One sub-command; what it returns is the exit status. */
    interface Command {
        int run(Map<String, String> environment) throws IOException;
    }

    public static void main(String[] args) {
        if (args.length > 0 && args[0].equals("serve")) {
            hangup = HangupSignal.taken();
        }
        System.setProperty("java.util.logging.manager", Logs.Kept.class.getName());
        int status = run(args, System.getenv());
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args, Map<String, String> environment) {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
            return main.command.run(environment);
        } catch (CmdLineException e) {
            System.err.println("dapplequay: " + e.getMessage());
            System.err.println("usage: java -jar dapplequay.jar serve [--config FILE] [--operators FILE]"
                    + " [--log LEVEL] | simhost | check-config [--config FILE] [--operators FILE] | version");
            return BAD_USAGE;
        } catch (SettingsException | IllegalArgumentException | IOException e) {
            System.err.println("dapplequay: " + e.getMessage());
            return BAD_CONFIG;
        }
    }

    /** What the commands that read a configuration share. */
    abstract static class Configured implements Command {
        @Option(name = "--operators", metaVar = "FILE", usage = "the operators' own file; else they have none")
        private String operators;
        @Option(name = "--config", metaVar = "FILE", usage = "the configuration; else EDGE_CONFIG names it")
        private String config;

        Path file(Map<String, String> environment) {
            String file = config == null ? environment.get("EDGE_CONFIG") : config;
            if (file == null || file.isEmpty()) {
                throw new SettingsException("no configuration: give --config or set EDGE_CONFIG");
            }
            return Path.of(file);
        }

        Operators operators() {
            return operators == null ? Operators.NONE : Operators.read(Path.of(operators));
        }

        Sidecar.Options plan(Map<String, String> environment) {
            return Config.read(file(environment), environment);
        }
    }

    /** Runs the sidecar until it is told to end. */
    public static final class Serve extends Configured {
        @Option(name = "--log", metaVar = "LEVEL", usage = "SEVERE, WARNING, INFO or FINE")
        private String level = "INFO";

        @Override
        public int run(Map<String, String> environment) throws IOException {
            Logs.start(Level.parse(level));
            Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
                Logger.getLogger(Main.class.getName()).log(Level.SEVERE, "thread " + thread.getName() + " ended", e);
                Logs.awaitWritten(LAST_LINES_MS);       // it may have been the last thread of the process
            });
            Path file = file(environment);
            ChangedFile changed = new ChangedFile(file);
            Map<?, ?> fields = Config.fields(file);
            KeptState state = KeptState.in(operators().stateFolder());
            Sidecar sidecar = state.begin(Config.read(file.toString(), fields, environment));
            OrderlyExit exit = new OrderlyExit(() -> sidecar.maxEndingUs() / 1_000, List.of(sidecar::end, state::end));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                exit.run();
                Logs.awaitWritten(LAST_LINES_MS);
            }, "ending"));
            Reload reload = new Reload(file, environment, sidecar, fields);
            MissedHangup missed = new MissedHangup(changed, () -> System.nanoTime() / 1_000_000,
                    () -> sidecar.sinceThreadShortageUs() / 1_000, reload::run);
            hangup.sets(() -> {
                missed.heard();
                reload.run();
            });
            if (hangup.isIgnored()) {
                Logger.getLogger(Main.class.getName()).warning("SIGHUP was ignored by who started this process: "
                        + file + " is read again when it changes");
            }
            boolean isIgnored = hangup.isIgnored();
            Thread watch = new Thread(() -> watch(isIgnored, changed, reload, missed), "changed-file");
            watch.setDaemon(true);
            watch.start();
            sidecar.start();
            return 0;
        }

        private static void watch(boolean isIgnored, ChangedFile changed, Reload reload, MissedHangup missed) {
            if (isIgnored) {
                changed.watch(reload::run);
            } else {
                missed.watch();
            }
        }
    }

    /** Hosts instances of the decision module for the simulator, on standard input and output. */
    public static final class Simulate implements Command {
        @Override
        public int run(Map<String, String> environment) {
            return SimHost.run();
        }
    }

    /** Reads a configuration as serve would, and says whether it is good. */
    public static final class CheckConfig extends Configured {
        @Override
        public int run(Map<String, String> environment) throws IOException {
            operators();
            Sidecar.check(plan(environment));
            System.out.println("good");
            return 0;
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public int run(Map<String, String> environment) {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("dapplequay " + (version == null ? "(not packaged)" : version));
            return 0;
        }
    }
}
