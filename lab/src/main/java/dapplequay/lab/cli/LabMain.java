package dapplequay.lab.cli;

/** The command line of the laboratory's jar. */
public final class LabMain {
    private LabMain() { }

    public static void main(String[] args) {
        System.err.println("dapplequay lab: no commands yet");
        System.exit(2);
    }
}
