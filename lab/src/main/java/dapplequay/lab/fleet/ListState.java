package dapplequay.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's list and its revisions; uses neither clock nor sockets. */
public final class ListState {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Number of changes kept for watchers; a watcher that is further behind gets the full list. */
    private static final int MAX_CHANGES = 1000;

    /** The list's entry of one host. {@code endpoints} holds one address for each zone of callers. */
    public record Entry(String uid, List<String> endpoints, String zone, String kind, int pod, String state,
                        double capacity, long bootMs) {
        public Entry withState(String newState) {
            return new Entry(uid, endpoints, zone, kind, pod, newState, capacity, bootMs);
        }
    }

    private record Change(long revision, Entry entry) { }

    /** An answer to a call: the full list, or else only the entries that changed. */
    public record Answer(long revision, boolean full, List<Entry> entries) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private long revision = 1;
    private boolean empty;

    public long revision() {
        return revision;
    }

    /** Applies a changed entry; one with the state DELETED is removed. */
    public void change(Entry entry) {
        revision++;
        if (entry.state().equals("DELETED")) {
            entries.remove(entry.uid());
        } else {
            entries.put(entry.uid(), entry);
        }
        changes.add(new Change(revision, entry));
        if (changes.size() > MAX_CHANGES) {
            changes.subList(0, MAX_CHANGES / 2).clear();
        }
    }

    /** Starts or stops to report the list as empty. Watchers then get the full list. */
    public void setEmpty(boolean on) {
        empty = on;
        revision++;
        changes.clear();
    }

    public Answer full() {
        return new Answer(revision, true, empty ? List.of() : List.copyOf(entries.values()));
    }

    /** Returns the changes after this revision, or the full list if they are no longer known. */
    public Answer changesAfter(long knownRevision) {
        long oldest = changes.isEmpty() ? revision : changes.get(0).revision() - 1;
        if (knownRevision > revision || knownRevision < oldest || empty) {
            return full();
        }
        Map<String, Entry> latest = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.revision() > knownRevision) {
                latest.remove(change.entry().uid());
                latest.put(change.entry().uid(), change.entry());
            }
        }
        return new Answer(revision, false, List.copyOf(latest.values()));
    }

    /** Returns the answer in the protocol's JSON format, as a caller in this zone sees it. */
    public static byte[] json(Answer answer, int zone) {
        ObjectNode root = JSON.createObjectNode();
        root.put("rev", answer.revision());
        root.put("all", answer.full());
        ArrayNode targets = root.putArray("targets");
        for (Entry entry : answer.entries()) {
            targets.addObject().put("uid", entry.uid()).put("endpoint", entry.endpoints().get(zone))
                    .put("az", entry.zone()).put("model", entry.kind()).put("pod_group", entry.pod())
                    .put("state", entry.state()).put("capacity_hint", entry.capacity())
                    .put("boot_ms", entry.bootMs());
        }
        return root.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }
}
