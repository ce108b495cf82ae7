package dapplequay.benchlink;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import dapplequay.BalancerApi;

/** Writes the actions of one instance in the simulator's JSON format. */
final class WireActions implements BalancerApi.Actions {
    private final WireWriter out;
    private final String instance;
    private final List<Long> issuedRequests = new ArrayList<>();

    WireActions(WireWriter out, String instance) {
        this.out = out;
        this.instance = instance;
    }

    /** Ignores {@code beginBy}: the simulator issues the attempt at the time of the decision. */
    @Override
    public void send(long requestId, String host, long timeoutUs, long beginBy) {
        issuedRequests.add(requestId);
        out.beginAction("ISSUE", instance).field("req", requestId).field("within_us", timeoutUs)
                .field("host", host).endAction();
    }

    /** Returns the requests with attempts sent since the last call. */
    List<Long> takeIssuedRequests() {
        List<Long> result = List.copyOf(issuedRequests);
        issuedRequests.clear();
        return result;
    }

    @Override
    public void cancel(long requestId, int attempt) {
        out.beginAction("RETRACT", instance).field("req", requestId).field("shot", attempt).endAction();
    }

    @Override
    public void refuse(long requestId, long pauseUs) {
        out.beginAction("NOT_NOW", instance).field("req", requestId).field("pause_us", pauseUs).endAction();
    }

    @Override
    public void fail(long requestId) {
        out.beginAction("LOSE", instance).field("req", requestId).endAction();
    }

    @Override
    public void setTimer(long afterUs, long token) {
        out.beginAction("SET_TIMER", instance).field("after_us", afterUs).field("cookie", token).endAction();
    }

    @Override
    public void watchFleet(boolean on) {
        out.beginAction("FOLLOW", instance).field("active", on).endAction();
    }

    @Override
    public void fetchFleet() {
        out.beginAction("QUERY_ALL", instance).endAction();
    }

    @Override
    public void probe(String host) {
        out.beginAction("TEST", instance).field("host", host).endAction();
    }

    @Override
    public void closeIdle(String host) {
        out.beginAction("RELEASE", instance).field("host", host).endAction();
    }

    @Override
    public void sendToPeer(int position, byte[] note) {
        out.beginAction("WRITE_PEER", instance);
        if (position < 0) {
            out.field("peer", "all");
        } else {
            out.field("peer", position);
        }
        out.field("body", Base64.getEncoder().encodeToString(note)).endAction();
    }

    @Override
    public void log(String line) {
        out.beginAction("DEBUG", instance).field("what", line).endAction();
    }
}
