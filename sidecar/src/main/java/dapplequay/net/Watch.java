package dapplequay.net;

import dapplequay.facade.Facade;
import dapplequay.facade.ListNews;
import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import dapplequay.http.Sockets;
import dapplequay.membership.ListClock;
import dapplequay.recovery.Doubt;
import dapplequay.recovery.LostCount;
import dapplequay.settings.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The discovery client: watches for changes as long as the module wants that, one call after the other. How long a
 * call may wait, and how soon the next one follows after a failure, {@link ListClock} says; an agent of the sidecar's
 * own is asked again as soon as the module wants that. A new address is asked at once, and for the whole list: its
 * versions may be counted anew.
 */
final class Watch implements Runnable {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    /**
     * A connection that is not there after this, us, is asked for again: what is lost of it is sent anew after a
     * second.
     */
    private static final long CONNECT_US = 1_000_000;
    /** For so long, us, after it was heard a version counts: a quiet watch, and as long as an older one is refused. */
    static final long VERSION_COUNTS_US = ListClock.LONGEST_WAIT_US + ListClock.AFTER_WAIT_US + LostCount.ALL_US;

    private final Endpoints table;
    private final Facade facade;
    private final UpstreamSide upstreams;
    private InetSocketAddress discovery;
    private int moves;
    /** The open connection and whom it leads to; all change under the lock, as {@link #moveTo} closes it. */
    private Socket socket;
    private InetSocketAddress asked;
    private int askedMoves;                 // an address that has come back is a new one: its socket was closed
    private boolean whole;
    private boolean anyVersion;             // of a start that knows none, or at another address
    private final Sidecar.Memory memory;
    private final ListClock clock;
    private final LongSupplier now;
    private final Doubt doubt = new Doubt();
    private long doubtEndsUs;               // no second answer is waited for any longer
    private Endpoints.Update doubted;
    private final LostCount lostCount = new LostCount();
    private long followed;                  // the version asked after, while older ones than the one known come
    private long notBeforeUs;               // the next question about a list that is not believed yet
    private String fault;
    private boolean spoke;                  // discovery has answered the call under way
    private MessageReader reader;
    private long waitUs;
    private volatile boolean isEnded;

    /** {@code now}: microseconds, never backwards. */
    Watch(InetSocketAddress discovery, Endpoints table, Facade facade, UpstreamSide upstreams, Sidecar.Memory memory,
            ListClock clock, LongSupplier now) {
        this.discovery = discovery;
        this.memory = memory;
        this.clock = clock;
        this.now = now;
        anyVersion = !memory.binds();
        this.table = table;
        this.facade = facade;
        this.upstreams = upstreams;
    }

    @Override
    public void run() {
        try {
            while (!isEnded) {
                pause();
                try {
                    // Handed over before anything else is done: a drain counts as told once its bytes came.
                    hear(call());
                    notBeforeUs = whole ? notBeforeUs : clock.watchFromUs(now.getAsLong());
                    clock.heard();
                    if (fault != null) {
                        fault = null;
                        LOG.info("discovery answers again");
                    }
                } catch (IOException | RuntimeException | OutOfMemoryError e) {
                    failed(e, now.getAsLong());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            drop();
        }
    }

    private void failed(Throwable e, long failedUs) {
        drop();
        if (isEnded || hasMoved()) {
            return;             // no failure of discovery's: the next call, if any, goes to the new address
        }
        if (doubt.isDoubting()) {
            LOG.warning("the list that was doubted counts: no second one came");
            doubt.failed();
            believe(doubted);
        }
        if (!e.toString().equals(fault)) {       // one line a cause: an agent is asked again very soon
            fault = e.toString();
            LOG.log(Level.WARNING, "discovery call failed: {0}", fault);
        }
        if (!(e instanceof SocketTimeoutException)) {
            clock.failed(failedUs, spoke);
        } else if (clock.silent()) {
            return;             // what it may have missed counts soon: the next one is not put off
        }
        facade.news(ListNews.failed());
        if (hasMoved()) {
            facade.watchAnew();         // the address came just before the module was told of the old one's failure
        }
    }

    /** Until the next call may begin; a new address is asked at once. */
    private void pause() throws InterruptedException {
        long begunUs = now.getAsLong();
        long pauseUs = clock.longestPauseUs(begunUs);
        facade.awaitWatch(pauseUs);
        if (pauseUs != Long.MAX_VALUE) {
            rest(begunUs + pauseUs, clock::keepsPause);
        }
        rest(notBeforeUs, () -> true);
    }

    private synchronized void rest(long untilUs, BooleanSupplier isKept) throws InterruptedException {
        long leftUs = untilUs - now.getAsLong();
        while (leftUs > 0 && !isEnded && !hasMoved() && isKept.getAsBoolean()) {
            wait((leftUs + 999) / 1_000);
            leftUs = untilUs - now.getAsLong();
        }
    }

    /** Another address from now on; a call that waits at the old one is cut, as its news may never come. */
    void moveTo(InetSocketAddress next) {
        synchronized (this) {
            notifyAll();            // other settings, too, may end a pause
            if (next.equals(discovery)) {
                return;
            }
            discovery = next;
            moves++;
            Sockets.close(socket);
        }
        LOG.log(Level.INFO, "discovery is at {0} now", Sockets.text(next));
        facade.watchAnew();
    }

    private void begin() {
        waitUs = clock.begin(now.getAsLong(), whole);
    }

    private void answering() {
        clock.answering(now.getAsLong());
    }

    /** How long the call under way may still be waited for. */
    private long leftUs() {
        long limitUs = doubt.isDoubting() ? Math.min(clock.limitUs(), doubtEndsUs) : clock.limitUs();
        return limitUs - now.getAsLong();
    }

    /** No more calls; one that waits is cut. */
    void end() {
        synchronized (this) {
            isEnded = true;
            notifyAll();
            Sockets.close(socket);
        }
    }

    private synchronized boolean hasMoved() {
        return asked != null && moves != askedMoves;
    }

    private synchronized void drop() {
        Sockets.close(socket);
        socket = null;
    }

    /** The connection to where discovery is now. */
    private Socket connected() throws IOException {
        Socket opened;
        synchronized (this) {
            if (isEnded) {
                throw new SocketException("ended");
            }
            if (socket != null && !hasMoved()) {
                begin();
                return socket;
            }
            drop();
            if (hasMoved()) {
                forgetTheOther();
            }
            asked = discovery;
            askedMoves = moves;
            socket = opened = new Socket();
        }
        begin();
        opened.connect(asked, LimitedInput.millis(Math.min(leftUs(), CONNECT_US)));
        opened.setTcpNoDelay(true);
        reader = new MessageReader(new LimitedInput(opened, this::leftUs, this::answering), MessageReader.MAX_LIST);
        return opened;
    }

    /** Discovery is elsewhere: what is doubted, and how versions are counted, was the other one's. */
    private void forgetTheOther() {
        anyVersion = true;
        whole = true;
        clock.moved();
        doubt.forget();
        doubted = null;
        lostCount.forget();
        notBeforeUs = 0;
    }

    /** Takes over what counts of an answer, and sees to it that the rest is asked for. */
    private void hear(Endpoints.Update update) {
        notBeforeUs = 0;
        boolean isWhole = update.news().kind() == ListNews.Kind.WHOLE;
        if (!anyVersion && update.revision() < table.revision() && !hearOlder(update, isWhole)) {
            return;
        }
        if (lostCount.isLost()) {
            lostCount.forget();
            whole |= !isWhole;      // changes to a list of which not all was taken over
        }
        anyVersion = false;
        if (isWhole && isDoubtful(update)) {
            doubted = update;
            // The version stays: a life that begins with what is kept by now has to be told of the missing ones, too.
            take(new Endpoints.Update(table.revision(), new ListNews(ListNews.Kind.CHANGES, update.news().lines()),
                    update.addresses()));
            whole = true;
            // A silence before it may have eaten of the grace: doubt has only what is left of that.
            long nowUs = now.getAsLong();
            long pauseUs = Doubt.pauseUs(clock.graceLeftUs(nowUs));
            notBeforeUs = nowUs + pauseUs;
            doubtEndsUs = nowUs + 2 * pauseUs;
            return;
        }
        take(update);
    }

    /** True where all of it counts; else what it takes out does, as far as {@link LostCount} believes it. */
    private boolean hearOlder(Endpoints.Update update, boolean isWhole) {
        if (!lostCount.isLost()) {
            LOG.log(Level.WARNING, "a list with version {0}, older than {1}: what it brings back does not count yet",
                    new Object[] {Long.toString(update.revision()), Long.toString(table.revision())});
        }
        long nowUs = now.getAsLong();
        LostCount.Belief belief = lostCount.heard(nowUs);
        if (belief == LostCount.Belief.ALL && isWhole) {
            return true;
        }
        Endpoints.Update outs = table.outsOf(update, isWhole && belief == LostCount.Belief.ENDS);
        if (!outs.news().lines().isEmpty()) {
            take(outs);
        }
        // Changes that follow on what was heard of this count are watched for; all else is asked for again.
        boolean follows = isWhole ? belief == LostCount.Belief.ENDS
                : belief == LostCount.Belief.ENDS && update.revision() >= followed && followed >= 0;
        followed = follows ? update.revision() : -1;
        whole = !follows;
        notBeforeUs = follows ? 0 : nowUs + lostCount.pauseUs(nowUs);
        return false;
    }

    private boolean isDoubtful(Endpoints.Update update) {
        int[] count = table.servingAndMissing(update);
        boolean second = doubt.isDoubting();
        boolean believed = doubt.believes(count[0], count[1]);
        if (!believed || second) {
            LOG.log(Level.WARNING, "a list without {0} of {1} hosts that served {2}", new Object[] {count[1], count[0],
                second ? "came again, and counts" : "is asked for again before it counts"});
        }
        return !believed || second && hasMoved();       // doubted at one address, it is not believed at another
    }

    private void believe(Endpoints.Update update) {
        try {
            take(update);
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "the list could not be taken over, and is asked for again", e);
        }
    }

    private void take(Endpoints.Update update) {
        var drained = table.take(update);
        try {
            facade.news(update.news());
        } catch (RuntimeException e) {
            whole = true;           // the table has what the module does not: both need all of it
            throw e;
        }
        upstreams.closeIdle(drained);
        memory.keep().accept(() -> Json.text(table.tree()));
    }

    private Endpoints.Update call() throws IOException {
        spoke = false;
        Socket to = connected();
        long after = lostCount.isLost() ? followed : table.revision();
        String query = whole ? "" : "?after=" + after + "&wait_ms=" + Math.max(1, waitUs / 1_000);
        String request = "GET /v1/servers" + query + " HTTP/1.1\r\nHost: " + Sockets.text(asked) + "\r\n\r\n";
        to.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Head head = reader.response();
        byte[] body = reader.responseBody(head);
        if (!head.start[1].equals("200")) {
            throw new IOException("discovery answered " + head.start[1]);
        }
        spoke = true;
        Endpoints.Update update = Endpoints.read(body);
        whole = false;
        if (head.closes(head.start[0]) || MessageReader.lastsToTheEnd(head) || reader.hasBytes()) {
            drop();             // bytes that nobody asked for would be read as the next answer
        }
        return update;
    }
}
