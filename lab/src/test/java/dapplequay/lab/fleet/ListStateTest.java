package dapplequay.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.lab.fleet.ListState.Entry;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListStateTest {
    private final ListState list = new ListState();

    private static Entry entry(String uid, String state) {
        return new Entry(uid, List.of("127.0.0.1:1", "127.0.0.1:2"), "z", "kind", 0, state, 1, 0);
    }

    @Test
    void watcherGetsLatestEntryOfEachChangedHost() {
        list.change(entry("a", "SERVING"));
        list.change(entry("b", "SERVING"));
        long known = list.revision();
        list.change(entry("a", "DRAINING"));
        list.change(entry("a", "SERVING"));
        list.change(entry("b", "DELETED"));
        ListState.Answer answer = list.changesAfter(known);
        assertThat(answer.full()).isFalse();
        assertThat(answer.entries()).containsExactly(entry("a", "SERVING"), entry("b", "DELETED"));
        assertThat(list.full().entries()).containsExactly(entry("a", "SERVING"));
        assertThat(list.changesAfter(list.revision()).entries()).isEmpty();
    }

    @Test
    void unknownRevisionGetsTheFullList() {
        list.change(entry("a", "SERVING"));
        for (int i = 0; i < 3000; i++) {
            list.change(entry("b", i % 2 == 0 ? "SERVING" : "DRAINING"));
        }
        assertThat(list.changesAfter(2).full()).isTrue();
        assertThat(list.changesAfter(list.revision() + 1).full()).isTrue();
        assertThat(list.changesAfter(list.revision() - 3).full()).isFalse();
    }

    @Test
    void emptyListIsSentAsFullList() {
        list.change(entry("a", "SERVING"));
        long known = list.revision();
        list.setEmpty(true);
        assertThat(list.changesAfter(known)).isEqualTo(new ListState.Answer(known + 1, true, List.of()));
        list.setEmpty(false);
        assertThat(list.changesAfter(known).entries()).containsExactly(entry("a", "SERVING"));
    }

    @Test
    void eachZoneGetsItsOwnEndpoints() {
        list.change(entry("a", "SERVING"));
        assertThat(new String(ListState.json(list.full(), 1))).contains("\"endpoint\":\"127.0.0.1:2\"")
                .contains("\"all\":true").contains("\"az\":\"z\"").contains("\"pod_group\":0");
    }
}
