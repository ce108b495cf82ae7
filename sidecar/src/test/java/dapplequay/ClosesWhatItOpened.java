package dapplequay;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;

/** A test class whose tests open things, on any thread, that are closed in the same order after each of them. */
public abstract class ClosesWhatItOpened {
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();

    protected final <T extends AutoCloseable> T open(T one) {
        opened.add(one);
        return one;
    }

    @AfterEach
    protected final void closeAll() throws Exception {
        for (AutoCloseable one : opened) {
            one.close();
        }
    }
}
