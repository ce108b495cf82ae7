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

/** The command-line entry point. */
public final class Main {
    static final int EXIT_BAD_USAGE = 2;
    static final int EXIT_BAD_CONFIG = 3;
    /** Time limit for writing the last log lines, as the reader of the log may be slow. */
    private static final long LOG_WRITE_TIMEOUT_MS = 50;

    /** The process's SIGHUP handler; null unless the command is serve. */
    private static HangupSignal hangup;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({@SubCommand(name = "serve", impl = Serve.class),
            @SubCommand(name = "simhost", impl = Simulate.class),
            @SubCommand(name = "check-config", impl = CheckConfig.class),
            @SubCommand(name = "version", impl = Version.class)})
    private Command command;

    /** A sub-command; {@code run} returns the exit status. */
    interface Command {
        int run(Map<String, String> environment) throws IOException;
    }

    public static void main(String[] args) {
        if (args.length > 0 && args[0].equals("serve")) {
            hangup = HangupSignal.install();
        }
        System.setProperty("java.util.logging.manager", Logging.KeepHandlersLogManager.class.getName());
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
            return EXIT_BAD_USAGE;
        } catch (SettingsException | IllegalArgumentException | IOException e) {
            System.err.println("dapplequay: " + e.getMessage());
            return EXIT_BAD_CONFIG;
        }
    }

    /** Base of the commands that read a configuration. */
    abstract static class ConfiguredCommand implements Command {
        @Option(name = "--operators", metaVar = "FILE", usage = "the operators' settings file; optional")
        private String operators;
        @Option(name = "--config", metaVar = "FILE", usage = "the configuration file; default: EDGE_CONFIG")
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

        Sidecar.Options readOptions(Map<String, String> environment) {
            return Config.read(file(environment), environment);
        }
    }

    /** Runs the sidecar until the process is asked to end. */
    public static final class Serve extends ConfiguredCommand {
        @Option(name = "--log", metaVar = "LEVEL", usage = "SEVERE, WARNING, INFO or FINE")
        private String level = "INFO";

        @Override
        public int run(Map<String, String> environment) throws IOException {
            Logging.start(Level.parse(level));
            Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
                Logger.getLogger(Main.class.getName()).log(Level.SEVERE, "thread " + thread.getName() + " ended", e);
                // This may be the last thread, and the process exits with it.
                Logging.awaitWritten(LOG_WRITE_TIMEOUT_MS);
            });
            Path file = file(environment);
            WatchedFile watchedFile = new WatchedFile(file);
            Map<?, ?> fields = Config.fields(file);
            PersistedState state = PersistedState.in(operators().stateFolder());
            Sidecar sidecar = state.createSidecar(Config.read(file.toString(), fields, environment));
            OrderlyExit exit = new OrderlyExit(() -> sidecar.maxEndingUs() / 1_000,
                    List.of(sidecar::end, state::close));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                exit.run();
                Logging.awaitWritten(LOG_WRITE_TIMEOUT_MS);
                awaitLongTransfers(sidecar);
                Logging.awaitWritten(LOG_WRITE_TIMEOUT_MS);
            }, "ending"));
            Reload reload = new Reload(file, environment, sidecar, fields);
            MissedHangup missedHangup = new MissedHangup(watchedFile, () -> System.nanoTime() / 1_000_000,
                    () -> sidecar.sinceThreadShortageUs() / 1_000, reload::run);
            hangup.setAction(() -> {
                missedHangup.signalReceived();
                reload.run();
            });
            if (hangup.isIgnored()) {
                Logger.getLogger(Main.class.getName()).warning("SIGHUP was ignored by who started this process: "
                        + file + " is read again when it changes");
            }
            boolean isIgnored = hangup.isIgnored();
            Thread watch = new Thread(() -> watch(isIgnored, watchedFile, reload, missedHangup), "changed-file");
            watch.setDaemon(true);
            watch.start();
            sidecar.start();
            return 0;
        }

        private static void awaitLongTransfers(Sidecar sidecar) {
            try {
                sidecar.awaitLongTransfers();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private static void watch(boolean isIgnored, WatchedFile watchedFile, Reload reload,
                                  MissedHangup missedHangup) {
            if (isIgnored) {
                watchedFile.watch(reload::run);
            } else {
                missedHangup.watch();
            }
        }
    }

    /** Runs instances of the decision module for the simulator, over standard input and output. */
    public static final class Simulate implements Command {
        @Override
        public int run(Map<String, String> environment) {
            return SimHost.run();
        }
    }

    /** Checks a configuration in the way that serve does. */
    public static final class CheckConfig extends ConfiguredCommand {
        @Override
        public int run(Map<String, String> environment) throws IOException {
            operators();
            Sidecar.check(readOptions(environment));
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
