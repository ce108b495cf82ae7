package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.settings.SettingsReader.Setup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One sidecar: puts the parts together, starts and ends them. */
public final class Sidecar {
    private static final Logger LOG = Logger.getLogger(Sidecar.class.getName());
    /** Descriptors kept for the program itself, the listener and discovery; the JVM has two dozen open. */
    private static final int OWN_DESCRIPTORS = 32;
    /** Of the others; of all of them clients hold up to a third, and strangers come on top. */
    private static final double ACQUIRER_SHARE = 0.55;
    /** Clients hold no more than a third of the descriptors; from this share on there is a crowd. */
    private static final double CROWD_SHARE = 0.25;
    /** What the process takes without connections, and each of these with its thread and its buffer. */
    private static final double BASE_MB = 75;
    private static final double CONNECTION_MB = 0.11;
    private static final int FEWEST = 4;
    private static final long TURN_US = 10_000;
    /** After an ending was ordered, new connections come for 0.4 s more. */
    private static final long LATE_CONNECTIONS_US = 550_000;
    private static final long ENDING_MARGIN_US = 100_000;

    private final Deadlines deadlines;
    private final Facade facade;
    private final Conductor conductor;
    private final AcquirerSide acquirers;
    private final Watch watch;
    private final long longestDeadlineUs;

    /** What a start needs. {@code known} is a tree in discovery's form, or null where none was kept. */
    public record Plan(InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                       int memoryMb, Object known, Setup setup) {
        /** Connections of both sides together that the limits allow. */
        int mostConnections() {
            double byMemory = (memoryMb - BASE_MB) / CONNECTION_MB;
            return (int) Math.max(FEWEST, Math.min(sockets - OWN_DESCRIPTORS, byMemory));
        }
    }

    /** Listens from here on; IOException where the address or the known list is no good. */
    public Sidecar(Plan plan) throws IOException {
        UnixClock clock = new UnixClock();
        deadlines = new Deadlines(clock);
        Setup setup = plan.setup();
        facade = new Facade(setup.settings(), plan.seed(), clock, LOG::info);
        RoutingTable table = restored(plan, facade);
        int most = plan.mostConnections();
        int mostAcquirers = (int) (most * ACQUIRER_SHARE);
        IssuerSide issuers = new IssuerSide(table, deadlines, setup.connectTimeoutUs(), setup.connIdleUs(),
                most - mostAcquirers);
        conductor = new Conductor(facade, issuers);
        issuers.conductor(conductor);
        watch = new Watch(plan.discovery(), table, facade, issuers);
        new WarmUp(setup, deadlines).run();
        acquirers = new AcquirerSide(plan.listen(), setup, facade, conductor, deadlines,
                mostAcquirers, (int) (plan.sockets() * CROWD_SHARE));
        longestDeadlineUs = setup.settings().classes().stream().mapToLong(c -> c.deadlineUs()).max()
                .orElse(0);
    }

    private static RoutingTable restored(Plan plan, Facade facade) throws IOException {
        RoutingTable table = new RoutingTable();
        List<ListNews.Line> lines = List.of();
        if (plan.known() != null) {
            RoutingTable.Update known = RoutingTable.read(plan.known());
            table.take(known);
            lines = known.news().lines();
        }
        facade.news(new ListNews(ListNews.Kind.RESTORED, lines));
        return table;
    }

    /** Whether a sidecar could be made of this, as far as that shows without listening. */
    public static void check(Plan plan) throws IOException {
        restored(plan, new Facade(plan.setup().settings(), plan.seed(), new UnixClock(), LOG::info));
    }

    public InetSocketAddress address() {
        return acquirers.address();
    }

    public void start() {
        daemon(this::keepTime, "timekeeper");
        daemon(watch, "watch");
        new Thread(acquirers, "listener").start();
        LOG.log(Level.INFO, "serving on {0}", Sockets.text(address()));
    }

    /** Another discovery from now on; nothing that is held is touched. */
    public void discoveryAt(InetSocketAddress discovery) {
        watch.moveTo(discovery);
    }

    private static void daemon(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Each turn: the module's timers, then the deadlines. One that fails is told, and the next follows. */
    private void keepTime() {
        while (true) {
            try {
                conductor.cut(facade.tick());
                deadlines.sweep();
                deadlines.await(TURN_US);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.log(Level.SEVERE, "the timekeeper's turn failed", e);
            }
        }
    }

    /** Ends in order, and returns when nothing is held any more. */
    public void end() throws InterruptedException {
        end(LATE_CONNECTIONS_US);
    }

    void end(long lateConnectionsUs) throws InterruptedException {
        LOG.info("ending: late connections are still served");
        long until = deadlines.now() + lateConnectionsUs;
        Thread.sleep(lateConnectionsUs / 1000);
        acquirers.end(until + longestDeadlineUs + ENDING_MARGIN_US);
        LOG.info("ended");
    }
}
