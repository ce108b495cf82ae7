package dapplequay.lab.cli;

import java.nio.file.Path;

/** Locates the project's root directory: the property {@code dapplequay.root}, else the working directory. */
final class Project {
    private Project() { }

    static Path root() {
        return Path.of(System.getProperty("dapplequay.root", ".")).toAbsolutePath().normalize();
    }
}
