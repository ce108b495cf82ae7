package dapplequay.benchlink;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import dapplequay.BalancerApi;

/** Writes one instance's actions as the wire's. */
final class WireActions implements BalancerApi.Actions {
    private final WireWriter out;
    private final String instance;
    private final List<Long> issued = new ArrayList<>();

    WireActions(WireWriter out, String instance) {
        this.out = out;
        this.instance = instance;
    }

    /** {@code beginBy} says nothing here: the simulator issues the attempt at the moment of the decision. */
    @Override
    public void send(long id, String host, long timeoutUs, long beginBy) {
        issued.add(id);
        out.action("ISSUE", instance).field("req", id).field("within_us", timeoutUs)
                .field("host", host).end();
    }

    /** The requests of which an attempt was sent since this was last asked. */
    List<Long> takeIssued() {
        List<Long> taken = List.copyOf(issued);
        issued.clear();
        return taken;
    }

    @Override
    public void cancel(long id, int attempt) {
        out.action("RETRACT", instance).field("req", id).field("shot", attempt).end();
    }

    @Override
    public void refuse(long id, long pauseUs) {
        out.action("NOT_NOW", instance).field("req", id).field("pause_us", pauseUs).end();
    }

    @Override
    public void fail(long id) {
        out.action("LOSE", instance).field("req", id).end();
    }

    @Override
    public void setTimer(long afterUs, long token) {
        out.action("SET_TIMER", instance).field("after_us", afterUs).field("cookie", token).end();
    }

    @Override
    public void watchFleet(boolean on) {
        out.action("FOLLOW", instance).field("active", on).end();
    }

    @Override
    public void fetchFleet() {
        out.action("QUERY_ALL", instance).end();
    }

    @Override
    public void probe(String host) {
        out.action("TEST", instance).field("host", host).end();
    }

    @Override
    public void closeIdle(String host) {
        out.action("RELEASE", instance).field("host", host).end();
    }

    @Override
    public void sendToPeer(int position, byte[] note) {
        out.action("WRITE_PEER", instance);
        if (position < 0) {
            out.field("peer", "all");
        } else {
            out.field("peer", position);
        }
        out.field("body", Base64.getEncoder().encodeToString(note)).end();
    }

    @Override
    public void log(String line) {
        out.action("DEBUG", instance).field("what", line).end();
    }
}
