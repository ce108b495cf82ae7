package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedCallIdsTest {
    private static final int PORT = 7070;
    private static final int IDS = 10_000;

    @TempDir
    private Path folder;

    @Test
    void idIsNewAtOneOfTwoTablesOnly() {
        SharedCallIds first = SharedCallIds.open(folder, PORT);
        SharedCallIds second = SharedCallIds.open(folder, PORT);
        for (long id = 0; id < IDS; id++) {
            assertThat((id % 2 == 0 ? first : second).addIfNew(id)).as("id %d", id).isTrue();
            assertThat((id % 2 == 0 ? second : first).addIfNew(id)).as("id %d again", id).isFalse();
        }
        first.remove(7);
        assertThat(second.addIfNew(7)).as("an id that was removed").isTrue();
        assertThat(SharedCallIds.open(folder, PORT + 1).addIfNew(7)).as("at another socket").isTrue();
    }

    @Test
    void idIsNewForOneOfManyThreadsOnly() throws Exception {
        AtomicInteger added = new AtomicInteger();
        CyclicBarrier barrier = new CyclicBarrier(4);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < barrier.getParties(); i++) {
            SharedCallIds ids = SharedCallIds.open(folder, PORT);
            threads.add(new Thread(() -> {
                for (long id = 0; id < IDS; id++) {
                    try {
                        barrier.await();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                    added.addAndGet(ids.addIfNew(id) ? 1 : 0);
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(added).hasValue(IDS);
    }

    @Test
    void withoutAFileEachIdIsNew() throws Exception {
        Path noFolder = Files.writeString(folder.resolve("file"), "");
        SharedCallIds ids = SharedCallIds.open(noFolder, PORT);
        assertThat(ids.addIfNew(1)).isTrue();
        assertThat(ids.addIfNew(1)).isTrue();
        ids.remove(1);
    }
}
