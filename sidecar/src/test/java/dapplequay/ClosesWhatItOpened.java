package dapplequay;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;

/** Base of tests that open resources on any thread. After each test they are closed in the order of opening. */
public abstract class ClosesWhatItOpened {
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();

    protected final <T extends AutoCloseable> T open(T resource) {
        opened.add(resource);
        return resource;
    }

    @AfterEach
    protected final void closeAll() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
    }
}
