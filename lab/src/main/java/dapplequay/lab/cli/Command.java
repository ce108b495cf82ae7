package dapplequay.lab.cli;

/** A subcommand; {@link #run} returns the exit status. */
interface Command {
    int OK = 0;
    int BAD_USAGE = 2;
    int BAD_FILE = 3;
    int GENERATOR_BEHIND = 4;

    int run() throws Exception;
}
