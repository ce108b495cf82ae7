package dapplequay.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's list with its versions: pure, no clock and no socket. */
public final class ListState {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Changes that are remembered for watchers; who lags behind further gets the whole list. */
    private static final int MAX_CHANGES = 1000;

    /** What the list says of one host. {@code endpoints}: one for each zone that asks. */
    public record Entry(String uid, List<String> endpoints, String zone, String kind, int pod, String state,
                        double capacity, long bootMs) {
        public Entry withState(String newState) {
            return new Entry(uid, endpoints, zone, kind, pod, newState, capacity, bootMs);
        }
    }

    private record Change(long revision, Entry entry) { }

    /** An answer: its text, and the entries in it. */
    public record Answer(long revision, boolean full, List<Entry> entries) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private long revision = 1;
    private boolean empty;

    public long revision() {
        return revision;
    }

    /** Takes one changed entry over; a state DELETED takes it out. */
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

    /** From now on the whole list is told as empty, or again as it is. Watchers are told the whole list. */
    public void setEmpty(boolean on) {
        empty = on;
        revision++;
        changes.clear();
    }

    public Answer full() {
        return new Answer(revision, true, empty ? List.of() : List.copyOf(entries.values()));
    }

    /** What changed after this revision; the whole list where that is not known any more. */
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

    /** The protocol's form, as a caller of this zone sees it. */
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
