package dapplequay.net;

import dapplequay.discovery.ListResponse;
import dapplequay.discovery.ServerRegistry;
import dapplequay.discovery.ServerStatus;
import dapplequay.facade.ListUpdate;
import dapplequay.facade.ListUpdate.ServerEntry;
import dapplequay.facade.ListUpdate.State;
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
 * The servers' addresses, next to the {@link ServerRegistry}, which decides whether each may be sent new work. Only the
 * network code needs addresses; they may differ between sidecars and may change.
 */
final class Endpoints {
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final ServerRegistry registry;

    /**
     * One server process. A host that restarts, moves or reuses the address of a removed one gets a different endpoint,
     * so that no connection to the previous process is used for it.
     */
    record Endpoint(String uid, InetSocketAddress address, long bootMs) { }

    /** One parsed list of discovery, checked as a whole before any of it is applied. */
    record EndpointUpdate(long revision, ListUpdate listUpdate, Map<String, InetSocketAddress> addresses) { }

    /** The result of applying a list, and the endpoints that accept no new work any more. */
    record ApplyResult(ServerRegistry.Result outcome, Set<Endpoint> retired) { }

    /** Starts without a list; the first one received is accepted whatever its version. */
    Endpoints() {
        this(true);
    }

    /** {@code acceptsAnyRevision} is explained at {@link ServerRegistry}. */
    Endpoints(boolean acceptsAnyRevision) {
        registry = new ServerRegistry(acceptsAnyRevision);
    }

    static EndpointUpdate parse(byte[] text) throws IOException {
        return parse(Json.parse(text));
    }

    /** Throws an IOException if the JSON tree is not a list of discovery. */
    static EndpointUpdate parse(Object tree) throws IOException {
        try {
            Map<?, ?> map = (Map<?, ?>) tree;
            boolean isWhole = (Boolean) map.get("all");
            List<ServerEntry> entries = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            Set<String> uids = new HashSet<>();
            for (Object target : (List<?>) map.get("targets")) {
                Map<?, ?> entry = (Map<?, ?>) target;
                State state = State.valueOf((String) entry.get("state"));
                String uid = (String) entry.get("uid");
                if (uid.isEmpty()) {
                    throw new IOException("list entry without uid");
                }
                if (!uids.add(uid)) {
                    throw new IOException("list with two entries of " + uid);
                }
                if (state != State.DELETED) {
                    addresses.put(uid, address((String) entry.get("endpoint")));
                }
                entries.add(new ServerEntry(uid, (String) entry.get("az"), (int) number(entry, "pod_group", 0),
                        state, number(entry, "capacity_hint", 1), (long) number(entry, "boot_ms", 0)));
            }
            ListUpdate.Kind kind = isWhole ? ListUpdate.Kind.FULL : ListUpdate.Kind.DELTA;
            return new EndpointUpdate(revision(map.get("rev")), new ListUpdate(kind, entries), addresses);
        } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new IOException("not a list of servers: " + e.getMessage(), e);
        }
    }

    /** Parses the version of a list: a whole number from 0 to {@link Long#MAX_VALUE}. */
    private static long revision(Object value) throws IOException {
        if (!(value instanceof Integer || value instanceof Long) || ((Number) value).longValue() < 0) {
            throw new IOException("not a version of a list: " + value);
        }
        return ((Number) value).longValue();
    }

    private static double number(Map<?, ?> entry, String field, double absent) {
        Object value = entry.get(field);
        return value == null ? absent : ((Number) value).doubleValue();
    }

    /** Parses an IP address with its port. Host names are rejected: there is no name service to resolve them. */
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
        return registry.revision();
    }

    /** Replaces the list without further checks; returns the endpoints that accept no new work any more. */
    synchronized Set<Endpoint> restore(EndpointUpdate update) {
        Set<Endpoint> before = serving();
        endpoints.clear();
        updateEndpoints(update);
        registry.restore(update.revision(), update.listUpdate().entries());
        before.removeAll(serving());
        return before;
    }

    /** Applies the response to {@code request}; {@code graceLeftUs}: the rest of the drain grace for its changes. */
    synchronized ApplyResult apply(EndpointUpdate update, ListResponse.Request request, long receivedUs,
            long graceLeftUs) {
        Set<Endpoint> before = serving();
        ListResponse response = new ListResponse(update.revision(), update.listUpdate(), request, receivedUs);
        ServerRegistry.Result outcome = registry.applyResponse(response, graceLeftUs);
        Set<String> appliedUids = new HashSet<>();
        outcome.update().entries().forEach(entry -> appliedUids.add(entry.uid()));
        Map<String, InetSocketAddress> addresses = new HashMap<>(update.addresses());
        addresses.keySet().retainAll(appliedUids);
        updateEndpoints(new EndpointUpdate(update.revision(), outcome.update(), addresses));
        return resultOf(outcome, before);
    }

    /** Removes the servers whose deadline has passed. */
    synchronized ApplyResult expire(long nowUs) {
        if (nowUs < registry.nextDeadlineUs()) {
            return new ApplyResult(registry.expire(nowUs), Set.of());
        }
        Set<Endpoint> before = serving();
        return resultOf(registry.expire(nowUs), before);
    }

    private ApplyResult resultOf(ServerRegistry.Result outcome, Set<Endpoint> before) {
        endpoints.keySet().removeIf(uid -> registry.statusOf(uid) == ServerStatus.REMOVED);
        before.removeAll(serving());
        return new ApplyResult(outcome, before);
    }

    /**
     * Takes over the addresses of the entries. An entry without an address keeps the known one; deleted servers are
     * skipped.
     */
    private void updateEndpoints(EndpointUpdate update) {
        for (ServerEntry entry : update.listUpdate().entries()) {
            Endpoint known = endpoints.get(entry.uid());
            InetSocketAddress address = update.addresses().getOrDefault(entry.uid(),
                    known == null ? null : known.address());
            if (address != null && entry.state() != State.DELETED) {
                endpoints.put(entry.uid(), new Endpoint(entry.uid(), address, entry.bootMs()));
            }
        }
    }

    private Set<Endpoint> serving() {
        Set<Endpoint> serving = new HashSet<>();
        for (String uid : endpoints.keySet()) {
            Endpoint endpoint = endpointOf(uid);
            if (endpoint != null) {
                serving.add(endpoint);
            }
        }
        return serving;
    }

    /** Called when discovery has moved to another address. */
    synchronized void discoveryMoved() {
        registry.discoveryMoved();
    }

    /** Returns the next request to send to discovery. */
    synchronized ListResponse.Request nextRequest(long nowUs) {
        return registry.nextRequest(nowUs);
    }

    synchronized boolean needsFullList() {
        return registry.needsFullList();
    }

    /** See {@link ServerRegistry#refetchDelayUs}. */
    synchronized long refetchDelayUs(long nowUs) {
        return registry.refetchDelayUs(nowUs);
    }

    /** Requests a full list, as the decision module could not apply the last one. */
    synchronized void requestFullList() {
        registry.requestFullList();
    }

    synchronized boolean isRegressed() {
        return registry.isRegressed();
    }

    /** Returns the list in discovery's JSON form, so that a later process can start with it. */
    synchronized Map<String, Object> toJsonTree() {
        List<Object> targets = new ArrayList<>();
        for (ServerEntry entry : registry.listedEntries()) {
            Map<String, Object> target = new LinkedHashMap<>();
            target.put("uid", entry.uid());
            target.put("endpoint", Sockets.hostAndPort(endpoints.get(entry.uid()).address()));
            target.put("az", entry.zone());
            target.put("pod_group", entry.cell());
            target.put("state", entry.state().name());
            target.put("capacity_hint", entry.weight());
            target.put("boot_ms", entry.bootMs());
            targets.add(target);
        }
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("rev", registry.confirmedRevision());
        tree.put("all", true);
        tree.put("targets", targets);
        return tree;
    }

    /** Returns the number of hosts in the list, including draining ones. */
    synchronized int size() {
        return registry.size();
    }

    /**
     * Returns the server's endpoint, or null if it accepts no new work. Ignores the server's deadline, unlike
     * {@link #endpointForSend}.
     */
    synchronized Endpoint endpointOf(String uid) {
        ServerStatus status = registry.statusOf(uid);
        return status == ServerStatus.SERVING || status == ServerStatus.UNCONFIRMED ? endpoints.get(uid) : null;
    }

    /** Returns the endpoint for work whose first byte is sent now; null also if the server's deadline has passed. */
    synchronized Endpoint endpointForSend(String uid, long nowUs) {
        if (!registry.maySend(uid, nowUs)) {
            return null;
        }
        registry.recordSend(uid, nowUs);
        return endpoints.get(uid);
    }

    synchronized ServerStatus statusOf(String uid) {
        return registry.statusOf(uid);
    }
}
