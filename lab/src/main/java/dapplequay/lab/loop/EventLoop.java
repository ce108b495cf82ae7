package dapplequay.lab.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * An event loop: one thread that waits for ready sockets, due timers and tasks posted by other threads. State
 * that belongs to a loop is accessed by its thread only.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final long UNIX_US_AT_START = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private static final long NANO_TIME_AT_START = System.nanoTime();
    /** For shorter waits the selector's millisecond timeout is too coarse, and the loop parks instead. */
    private static final long MIN_SELECT_US = 1_500;
    private static final long PARK_NANOS = 50_000;

    /** Serves one socket. An IOException is passed to {@link #onError} and affects no other socket. */
    public interface Handler {
        void onReady(SelectionKey key) throws IOException;

        void onError(IOException cause);
    }

    /** Receives the connections that a listener has accepted. */
    public interface Acceptor {
        void onAccepted(SocketChannel channel) throws IOException;
    }

    /** A task scheduled for a time; it does not run if it is cancelled before. */
    public static final class Timer {
        private final long dueUs;
        private final long sequence;
        private Runnable task;

        private Timer(long dueUs, long sequence, Runnable task) {
            this.dueUs = dueUs;
            this.sequence = sequence;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }
    }

    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) ->
            a.dueUs != b.dueUs ? Long.compare(a.dueUs, b.dueUs) : Long.compare(a.sequence, b.sequence));
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private long nextTimerSequence;
    private volatile boolean stopped;

    public EventLoop(String name) {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns monotonic Unix time in microseconds, the same for all loops of the process. */
    public static long nowUs() {
        return UNIX_US_AT_START + (System.nanoTime() - NANO_TIME_AT_START) / 1000;
    }

    /** Queues a task for the loop's thread. Any thread may call this. */
    public void post(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /**
     * Runs a task on the loop's thread and waits until it is done. Not to be called from a loop's thread.
     *
     * @throws IllegalStateException if the loop is closed
     */
    public void postAndWait(Runnable task) {
        if (stopped) {
            throw new IllegalStateException(thread.getName() + " has ended");
        }
        java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
        post(() -> {
            try {
                task.run();
            } finally {
                done.countDown();
            }
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Schedules a task for a time in Unix microseconds. On the loop's thread only. */
    public Timer schedule(long dueUs, Runnable task) {
        Timer timer = new Timer(dueUs, nextTimerSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Registers a channel, made non-blocking, for the interest set. On the loop's thread only. */
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    /** Accepts connections on a listener and passes each to the acceptor. */
    public void accept(ServerSocketChannel listener, Acceptor acceptor) {
        try {
            register(listener, SelectionKey.OP_ACCEPT, new Handler() {
                @Override
                public void onReady(SelectionKey key) throws IOException {
                    for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
                        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                        acceptor.onAccepted(channel);
                    }
                }

                @Override
                public void onError(IOException cause) {
                    LOG.log(Level.FINE, "accept failed: {0}", cause.toString());
                }
            });
        } catch (IOException e) {
            LOG.log(Level.FINE, "listener could not be registered: {0}", e.toString());
        }
    }

    /**
     * Completes the close of sockets closed since the last select: until then their ports stay in use. On the
     * loop's thread only, from a task or a timer.
     */
    public void releaseClosedSockets() throws IOException {
        selector.selectNow();
    }

    @Override
    public void close() {
        stopped = true;
        selector.wakeup();
        if (Thread.currentThread() != thread) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void run() {
        while (!stopped) {
            try {
                runOnce();
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                LOG.log(Level.SEVERE, "an iteration of event loop " + thread.getName() + " failed", e);
            }
        }
        for (SelectionKey key : selector.keys()) {
            try {
                key.channel().close();
            } catch (IOException e) {
                LOG.log(Level.FINE, "channel or selector could not be closed", e);
            }
        }
        try {
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "channel or selector could not be closed", e);
        }
    }

    private void runOnce() throws IOException {
        waitForWork();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            runGuarded(task);
        }
        for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext();) {
            SelectionKey key = keys.next();
            keys.remove();
            dispatch(key);
        }
        long now = nowUs();
        while (!timers.isEmpty() && timers.peek().dueUs <= now) {
            Runnable task = timers.poll().task;
            if (task != null) {
                runGuarded(task);
            }
        }
    }

    private void waitForWork() throws IOException {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        long untilDueUs = timers.isEmpty() ? 1_000_000 : timers.peek().dueUs - nowUs();
        if (!tasks.isEmpty() || untilDueUs <= 0) {
            selector.selectNow();
        } else if (untilDueUs >= MIN_SELECT_US) {
            selector.select(Math.max(1, (untilDueUs - 500) / 1000));
        } else if (selector.selectNow() == 0) {
            LockSupport.parkNanos(Math.min(PARK_NANOS, untilDueUs * 1000));
        }
    }

    private void dispatch(SelectionKey key) {
        Handler handler = (Handler) key.attachment();
        try {
            handler.onReady(key);
        } catch (IOException e) {
            handler.onError(e);
        } catch (CancelledKeyException e) {
            LOG.log(Level.FINEST, "key was cancelled in this iteration", e);
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "a socket handler failed", e);
            handler.onError(new IOException(e));
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a task on event loop " + thread.getName() + " failed", e);
        }
    }
}
