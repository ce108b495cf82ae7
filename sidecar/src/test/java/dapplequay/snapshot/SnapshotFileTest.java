package dapplequay.snapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dapplequay.state.Snapshot;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SnapshotFileTest {
    private static final Snapshot OLD = new Snapshot(1, "old".getBytes(StandardCharsets.UTF_8));
    private static final Snapshot NEW = new Snapshot(2, "new and longer".getBytes(StandardCharsets.UTF_8));

    @TempDir
    private Path folder;

    /** Thrown to simulate a crash of the process. */
    private static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Crashes at the given step: before an operation, or in the middle of a write. */
    private static final class CrashingFileOperations extends FileOperations {
        private final int crashStep;
        private int nextStep;

        CrashingFileOperations(int crashStep) {
            this.crashStep = crashStep;
        }

        private void countStep() {
            if (nextStep++ == crashStep) {
                throw new SimulatedCrash();
            }
        }

        @Override
        void create(Path file) throws IOException {
            countStep();
            super.create(file);
        }

        @Override
        void write(Path file, byte[] bytes) throws IOException {
            countStep();
            if (nextStep == crashStep) {
                super.write(file, Arrays.copyOf(bytes, bytes.length / 2));
                throw new SimulatedCrash();
            }
            super.write(file, bytes);
            countStep();
        }

        @Override
        void sync(Path file) throws IOException {
            countStep();
            super.sync(file);
        }

        @Override
        void rename(Path from, Path to) throws IOException {
            countStep();
            super.rename(from, to);
        }

        @Override
        void syncFolder(Path of) throws IOException {
            countStep();
            super.syncFolder(of);
        }
    }

    @Test
    void readReturnsTheLastSnapshotWritten() throws IOException {
        SnapshotFile file = new SnapshotFile(folder, "n1");
        assertThat(file.read()).isNull();
        file.write(OLD);
        file.write(NEW);
        assertThat(file.read()).isEqualTo(NEW);
        assertThat(new SnapshotFile(folder, "n2").read()).as("the snapshot of another name").isNull();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6})
    void crashDuringAWriteLeavesTheOldOrTheNewSnapshot(int step) throws IOException {
        new SnapshotFile(folder, "n1").write(OLD);
        boolean crashed = false;
        try {
            new SnapshotFile(folder, "n1", new CrashingFileOperations(step)).write(NEW);
        } catch (SimulatedCrash e) {
            crashed = true;
        }
        assertThat(crashed).isEqualTo(step < 6);
        Snapshot found = new SnapshotFile(folder, "n1").read();
        assertThat(found).isIn(OLD, NEW);
        assertThat(folder.resolve("n1.list.bad")).doesNotExist();
        new SnapshotFile(folder, "n1").write(NEW);
        assertThat(new SnapshotFile(folder, "n1").read()).as("the write after the crash").isEqualTo(NEW);
    }

    @ParameterizedTest
    @CsvSource({"torn", "''", "DQSNAPxxxxxxxxxxxxxxxxxxxxxxxxxxx"})
    void unreadableFileIsRenamedAndDoesNotStopLaterWrites(String text) throws IOException {
        Files.writeString(folder.resolve("n1.list"), text);
        SnapshotFile file = new SnapshotFile(folder, "n1");
        assertThat(file.read()).isNull();
        assertThat(folder.resolve("n1.list.bad")).hasContent(text);
        assertThat(folder.resolve("n1.list")).doesNotExist();
        file.write(NEW);
        assertThat(file.read()).isEqualTo(NEW);
    }

    @Test
    void missingFolderFailsOnlyTheWrite() {
        SnapshotFile file = new SnapshotFile(folder.resolve("gone"), "n1");
        assertThat(file.read()).isNull();
        assertThatThrownBy(() -> file.write(OLD)).isInstanceOf(IOException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "../n1", "a/b", ".hidden", "a b"})
    void invalidFileNameIsRefused(String name) {
        assertThatThrownBy(() -> new SnapshotFile(folder, name)).isInstanceOf(IllegalArgumentException.class);
    }
}
