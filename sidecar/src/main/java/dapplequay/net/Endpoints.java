package dapplequay.net;

import dapplequay.facade.ListNews;
import dapplequay.facade.ListNews.Line;
import dapplequay.facade.ListNews.State;
import dapplequay.http.Sockets;
import dapplequay.settings.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery's list as last heard: which endpoint belongs to a host's uid, and whether it wants new work. Only
 * the network asks for endpoints; they differ from one sidecar to the next and may change.
 */
final class Endpoints {
    private final Map<String, Listed> endpoints = new HashMap<>();
    private long revision;

    /**
     * The way to one process: a host that restarts, moves or comes up at the address of a gone one is
     * another, so that no connection of the one before is used for it.
     */
    record Endpoint(String uid, InetSocketAddress address, long bootMs) { }

    private record Listed(Endpoint endpoint, Line line) {
        State state() {
            return line.state();
        }
    }

    /** One text of discovery's, read and checked as a whole before any of it counts. */
    record Update(long revision, ListNews news, Map<String, InetSocketAddress> addresses) { }

    static Update read(byte[] text) throws IOException {
        return read(Json.parse(text));
    }

    /** IOException where the tree is not a list of discovery's. */
    static Update read(Object tree) throws IOException {
        try {
            Map<?, ?> map = (Map<?, ?>) tree;
            boolean whole = (Boolean) map.get("all");
            List<Line> lines = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (Object target : (List<?>) map.get("targets")) {
                Map<?, ?> entry = (Map<?, ?>) target;
                State state = State.valueOf((String) entry.get("state"));
                String uid = (String) entry.get("uid");
                if (uid.isEmpty()) {
                    throw new IOException("list entry without uid");
                }
                if (state != State.DELETED) {
                    addresses.put(uid, address((String) entry.get("endpoint")));
                }
                lines.add(new Line(uid, (String) entry.get("az"), (int) number(entry, "pod_group", 0),
                        state, number(entry, "capacity_hint", 1), (long) number(entry, "boot_ms", 0)));
            }
            ListNews.Kind kind = whole ? ListNews.Kind.WHOLE : ListNews.Kind.CHANGES;
            return new Update(((Number) map.get("rev")).longValue(), new ListNews(kind, lines), addresses);
        } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new IOException("not a list of servers: " + e.getMessage(), e);
        }
    }

    private static double number(Map<?, ?> entry, String field, double absent) {
        Object value = entry.get(field);
        return value == null ? absent : ((Number) value).doubleValue();
    }

    /** An address with its port. Names are refused: there is nobody to ask for them. */
    static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]")
                || !port.matches("[0-9]{1,5}") || Integer.parseInt(port) > 65535) {
            throw new IOException("not an address with a port: " + text);
        }
        return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
    }

    synchronized long revision() {
        return revision;
    }

    /** Takes an update over; returns the endpoints that take no new work any more. */
    synchronized Set<Endpoint> take(Update update) {
        Set<Endpoint> before = serving();
        if (update.news().kind() != ListNews.Kind.CHANGES) {
            endpoints.clear();
        }
        for (Line line : update.news().lines()) {
            if (line.state() == State.DELETED) {
                endpoints.remove(line.uid());
            } else {
                Endpoint endpoint = new Endpoint(line.uid(), update.addresses().get(line.uid()), line.bootMs());
                endpoints.put(line.uid(), new Listed(endpoint, line));
            }
        }
        revision = update.revision();
        before.removeAll(serving());
        return before;
    }

    /**
     * What an update with an older version takes out, as changes to the version known: hosts that it says drain or are
     * deleted, and, with {@code ends}, those that it does not name. A drain before a later start of the host is over.
     */
    synchronized Update outsOf(Update older, boolean ends) {
        List<Line> outs = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        Set<String> named = new HashSet<>();
        for (Line line : older.news().lines()) {
            named.add(line.uid());
            Listed listed = endpoints.get(line.uid());
            boolean drains = line.state() == State.DRAINING && listed != null && listed.state() == State.SERVING
                    && line.bootMs() >= listed.line().bootMs();
            if (drains || line.state() == State.DELETED && listed != null) {
                outs.add(in(line.state(), listed.line()));
                addresses.put(line.uid(), listed.endpoint().address());
            }
        }
        for (Listed listed : endpoints.values()) {
            if (ends && !named.contains(listed.line().uid())) {
                outs.add(in(State.DELETED, listed.line()));
            }
        }
        return new Update(revision, new ListNews(ListNews.Kind.CHANGES, outs), addresses);
    }

    private static Line in(State state, Line known) {
        return new Line(known.uid(), known.zone(), known.cell(), state, known.weight(), known.bootMs());
    }

    private Set<Endpoint> serving() {
        Set<Endpoint> serving = new HashSet<>();
        for (Listed listed : endpoints.values()) {
            if (listed.state() == State.SERVING) {
                serving.add(listed.endpoint());
            }
        }
        return serving;
    }

    /** How many hosts serve, and how many of them a whole list does not name any more. */
    synchronized int[] servingAndMissing(Update whole) {
        Set<Endpoint> before = serving();
        Set<String> named = new HashSet<>();
        whole.news().lines().forEach(line -> named.add(line.uid()));
        return new int[] {before.size(), (int) before.stream().filter(r -> !named.contains(r.uid())).count()};
    }

    /** The list in discovery's form, so that a later life can begin with it. */
    synchronized Map<String, Object> tree() {
        List<Object> targets = new ArrayList<>();
        for (Listed listed : endpoints.values()) {
            Line line = listed.line();
            Map<String, Object> target = new LinkedHashMap<>();
            target.put("uid", line.uid());
            target.put("endpoint", Sockets.text(listed.endpoint().address()));
            target.put("az", line.zone());
            target.put("pod_group", line.cell());
            target.put("state", line.state().name());
            target.put("capacity_hint", line.weight());
            target.put("boot_ms", line.bootMs());
            targets.add(target);
        }
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("rev", revision);
        tree.put("all", true);
        tree.put("targets", targets);
        return tree;
    }

    /** Hosts in the list, those that drain included. */
    synchronized int size() {
        return endpoints.size();
    }

    /** How to reach the host, or null where it wants no new work or is not listed. */
    synchronized Endpoint endpointOf(String uid) {
        Listed listed = endpoints.get(uid);
        return listed == null || listed.state() != State.SERVING ? null : listed.endpoint();
    }
}
