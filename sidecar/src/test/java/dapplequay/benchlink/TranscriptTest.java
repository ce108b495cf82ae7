package dapplequay.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Feeds transcripts of the simulator to the adapter with the real balancer. */
class TranscriptTest {
    private static final String SETUP = """
            {"balancers":2,"position":%d,"locality":"west","zones":["east","west"],"discovery":"pushed",
            "some_new_field":{"a":[1,{"b":null}]},"over_share_worth":0.5,
            "guarantees":{"cold_from":0.15,"warm_up_us":20000000,"tip_multiple":3.0,"tip_after_us":1500000,
            "drain_grace_us":500000,"ask_within_us":10000000},
            "limits":{"send_cap":3,"may_cancel":true,"second_copies":false,"probing":false,"retry_after":true,
            "max_retry_after_us":1500000},"prices":{"cross_zone":0.1},
            "projects":[{"name":"t1","share":1.0,"quota_per_s":50.0}],
            "services":[{"name":"read","aim_us":400000,"deadline_us":1000000,"semantics":"retryable","group":"all",
            "importance":2.0,"late_worth":0.0,"stream":false,"window_us":0},
            {"name":"write","aim_us":400000,"deadline_us":1000000,"semantics":"fragile","group":"all",
            "importance":5.0,"late_worth":0.0,"stream":false,"window_us":0}]}""".replace("\n", "");
    private static final String POOL = "{\"kind\":\"POOL\",\"sheet\":3,\"entries\":["
            + "{\"host\":\"10.0.0.1:1\",\"region_part\":\"west\",\"hw\":\"x\",\"stripe\":0,\"stage_state\":\"up\","
            + "\"heft\":1,\"launched_us\":null},{\"stage_state\":\"up\",\"heft\":1.5,\"host\":\"10.0.0.2:1\","
            + "\"region_part\":\"west\",\"launched_us\":5,\"extra\":[[]]}]}";

    private record Run(int status, List<String> out, String err) { }

    private static Run run(String... lines) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        byte[] in = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        int status = SimHost.run(new ByteArrayInputStream(in), out, new PrintStream(err));
        return new Run(status, out.toString(StandardCharsets.UTF_8).lines().toList(),
                err.toString(StandardCharsets.UTF_8));
    }

    private static String batch(long turn, long now, String... events) {
        return "{\"now_us\":" + now + ",\"turn\":" + turn + ",\"msgs\":[" + String.join(",", events) + "]}";
    }

    private static String born(String name, int position) {
        return "{\"kind\":\"BORN\",\"proxy_id\":\"" + name + "\",\"seed\":18446744073709551615,\"setup\":"
                + String.format(SETUP, position) + "}";
    }

    private static String sync(String name, String how, int sheet) {
        return "{\"kind\":\"SYNC\",\"proxy_id\":\"" + name + "\",\"how\":\"" + how + "\",\"epoch\":1,\"sheet\":" + sheet
                + "}";
    }

    private static String call(String name, long id, String band) {
        return "{\"kind\":\"CALL\",\"proxy_id\":\"" + name + "\",\"req\":" + id + ",\"band\":\"" + band
                + "\",\"tenant\":\"t1\",\"subject\":null,\"left_us\":800000,\"estimate_us\":null,\"state_bits\":0}";
    }

    private static String done(String name, long id, String host, int code, boolean closed) {
        return "{\"kind\":\"DONE\",\"proxy_id\":\"" + name + "\",\"req\":" + id + ",\"shot\":0,\"host\":\"" + host
                + "\",\"code\":" + code + ",\"took_us\":9000,\"final\":" + closed
                + ",\"server_stats\":{\"queue\":1,\"inflight\":2.5,\"new\":\"?\"}}";
    }

    private static final String START = batch(1, 1000, POOL, born("proxy-0", 0), sync("proxy-0", "Persisted", 3));

    @Test
    void emptyBatchGetsAnEmptyReply() {
        Run run = run("{\"now_us\":8412250,\"turn\":1,\"msgs\":[]}");
        assertEquals(0, run.status());
        assertEquals(List.of("{\"turn\":1,\"output\":[]}"), run.out());
    }

    @Test
    void fieldsAreAcceptedInAnyOrder() {
        Run run = run("{\"msgs\":[],\"turn\":7,\"later\":{},\"now_us\":1}");
        assertEquals(List.of("{\"turn\":7,\"output\":[]}"), run.out());
    }

    @Test
    void requestIsIssuedWithItsId() {
        long id = (1L << 52) - 1;
        Run run = run(START, batch(2, 9_000_000, call("proxy-0", id, "read")));
        assertEquals(0, run.status(), run.err());
        assertTrue(run.out().get(1).startsWith("{\"turn\":2,\"output\":[{\"kind\":\"ISSUE\",\"proxy_id\":\"proxy-0\","
                + "\"req\":" + id + ",\"within_us\":400000,\"host\":\"10.0.0."), run.out().get(1));
    }

    @Test
    void failedUnsafeRequestIsLostAndFailedSafeRequestIsRetried() {
        Run first = run(START, batch(2, 9_000_000, call("proxy-0", 5, "write")));
        String host = first.out().get(1).replaceAll(".*\"host\":\"([^\"]+)\".*", "$1");
        Run run = run(START, batch(2, 9_000_000, call("proxy-0", 5, "write")),
                batch(3, 9_010_000, done("proxy-0", 5, host, 255, false)));
        assertTrue(run.out().get(2).contains("{\"kind\":\"LOSE\",\"proxy_id\":\"proxy-0\",\"req\":5}"),
                run.out().get(2));
        run = run(START, batch(2, 9_000_000, call("proxy-0", 6, "read")),
                batch(3, 9_010_000, done("proxy-0", 6, host, 255, false)));
        assertTrue(run.out().get(2).contains("ISSUE"), run.out().get(2));
        assertFalse(run.out().get(2).contains(host + "\",\"within"), run.out().get(2));
    }

    @Test
    void everyEventKindAndOutcomeCodeIsAccepted() {
        List<String> lines = new ArrayList<>(List.of(START));
        for (int i = 0; i < 8; i++) {
            int code = i == 0 ? 0 : 248 + i;
            lines.add(batch(2 + i, 9_000_000 + i, call("proxy-0", 50 + i, "read")));
            lines.add(batch(20 + i, 9_000_100 + i, done("proxy-0", 50 + i, "10.0.0.1:1", code, true)));
        }
        lines.add(batch(90, 9_100_000,
                "{\"kind\":\"UNDER_WAY\",\"proxy_id\":\"proxy-0\",\"req\":1,\"shot\":0,\"host\":\"h\",\"took_us\":1}",
                "{\"kind\":\"VANISHED\",\"proxy_id\":\"proxy-0\",\"req\":999}",
                "{\"kind\":\"TIMEOUT_FIRED\",\"proxy_id\":\"proxy-0\",\"cookie\":9223372036854775807}",
                "{\"kind\":\"PROBE_RESULT\",\"proxy_id\":\"proxy-0\",\"host\":\"10.0.0.1:1\",\"code\":0,\"took_us\":1,"
                        + "\"server_stats\":null}",
                "{\"kind\":\"NOTE_FROM\",\"proxy_id\":\"proxy-0\",\"sender\":1,\"body\":\"aGkgNw==\"}",
                sync("proxy-0", "Error", 0), sync("proxy-0", "Complete", 3), sync("proxy-0", "Partial", 3)));
        Run run = run(lines.toArray(String[]::new));
        assertEquals(0, run.status(), run.err());
        assertEquals(lines.size(), run.out().size());
        assertFalse(String.join("", run.out()).contains("EXCEPTION"), String.join("\n", run.out()));
    }

    @Test
    void sheetNumberRefersToTheLatestEarlierDeclaration() {
        String other = POOL.replace("10.0.0.1:1", "10.9.9.9:1").replace("10.0.0.2:1", "10.9.9.8:1");
        Run run = run(batch(1, 1000, born("proxy-0", 0), born("proxy-1", 1), POOL, sync("proxy-0", "Persisted", 3),
                other, sync("proxy-1", "Persisted", 3)),
                batch(2, 90_000_000, call("proxy-0", 1, "read"), call("proxy-1", 2, "read")));
        assertEquals(0, run.status(), run.err());
        assertTrue(run.out().get(1).matches(".*\"req\":1,[^}]*10\\.0\\.0.*\"req\":2,[^}]*10\\.9\\.9.*"),
                run.out().get(1));
    }

    @Test
    void haltAndBornInOneBatchRestartTheInstance() {
        Run run = run(START, batch(2, 9_000_000, call("proxy-0", 5, "read")), batch(3, 9_000_005,
                "{\"kind\":\"HALT\",\"proxy_id\":\"proxy-0\"}", born("proxy-0", 0), sync("proxy-0", "Persisted", 3)),
                batch(4, 9_010_000, call("proxy-0", 6, "read")));
        assertEquals(0, run.status(), run.err());
        assertEquals("{\"turn\":3,\"output\":[]}", run.out().get(2));
        assertTrue(run.out().get(3).contains("\"req\":6"));
    }

    @Test
    void moduleExceptionIsReportedForItsInstance() {
        Run run = run(batch(1, 1, born("proxy-0", 0).replace("\"send_cap\":3", "\"send_cap\":0")));
        assertEquals(0, run.status());
        assertTrue(run.out().get(0).contains("\"EXCEPTION\",\"proxy_id\":\"proxy-0\""), run.out().get(0));
        assertTrue(run.out().get(0).contains("sendCap"), run.out().get(0));
    }

    @Test
    void largeBatchGetsOneReply() {
        List<String> events = new ArrayList<>();
        for (int i = 0; i < 30_000; i++) {
            events.add(call("proxy-0", i, "read"));
        }
        Run run = run(START, batch(2, 9_000_000, events.toArray(String[]::new)));
        assertEquals(0, run.status(), run.err());
        assertEquals(2, run.out().size());
        assertTrue(run.out().get(1).length() > 1_000_000);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "not json|unreadable",
        "[]|object",
        "{\"now_us\":1,\"msgs\":[]}|turn",
        "{\"turn\":1,\"now_us\":1,\"msgs\":[{\"proxy_id\":\"p\"}]}|kind",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"JUMP\",\"proxy_id\":\"p\"}]}|JUMP",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"HALT\",\"proxy_id\":\"proxy-8\"}]}|proxy-8",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"HALT\",\"proxy_id\":8}]}|proxy_id",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"SYNC\",\"proxy_id\":\"proxy-0\",\"how\":\"Complete\",\"sheet\":4}]}|sheet 4",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"SYNC\",\"proxy_id\":\"proxy-0\",\"how\":\"Often\",\"sheet\":3}]}|Often",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"CALL\",\"proxy_id\":\"proxy-0\",\"req\":1,\"band\":\"huge\",\"left_us\":5}]}|huge",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"CALL\",\"proxy_id\":\"proxy-0\",\"req\":1,\"band\":\"read\"}]}|left_us",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"CALL\",\"proxy_id\":\"proxy-0\",\"req\":1,\"band\":\"read\",\"left_us\":1,\"tenant\":\"zz\"}]}|zz",
        "{\"turn\":2,\"now_us\":1,\"msgs\":[{\"kind\":\"DONE\",\"proxy_id\":\"proxy-0\",\"req\":1,\"shot\":0,\"host\":\"h\",\"code\":77,\"final\":true}]}|77",
    })
    void invalidInputEndsWithOneErrorLine(String line, String expectedText) {
        Run run = run(START, line);
        assertEquals(SimHost.EXIT_BAD_INPUT, run.status());
        assertEquals(1, run.err().lines().count(), run.err());
        assertTrue(run.err().contains(expectedText), run.err());
        assertTrue(run.err().contains("batch"), run.err());
        assertFalse(run.err().contains("\tat "), run.err());
    }

    @Test
    void settingTypesAndZonesAreValidated() {
        Run run = run(batch(1, 1, born("proxy-0", 0).replace("\"send_cap\":3", "\"send_cap\":\"3\"")));
        assertEquals(SimHost.EXIT_BAD_INPUT, run.status());
        assertTrue(run.err().contains("send_cap"), run.err());
        run = run(batch(1, 1, born("proxy-0", 0).replace("\"locality\":\"west\"", "\"locality\":\"north\"")));
        assertTrue(run.err().contains("locality"), run.err());
        run = run(START, batch(2, 2, POOL.replace("\"region_part\":\"west\",\"hw\"", "\"region_part\":\"up\",\"hw\""),
                sync("proxy-0", "Complete", 3)));
        assertTrue(run.err().contains("region_part"), run.err());
    }

    /** Instances must not influence each other: they act the same in one process as spread over three. */
    @Test
    void instancesActTheSameInOneProcessAsInThree() {
        List<String> inOneProcess = actions(0, 1);
        List<String> inThreeProcesses = new ArrayList<>();
        for (int process = 0; process < 3; process++) {
            inThreeProcesses.addAll(actions(process, 3));
        }
        inThreeProcesses.sort(null);
        inOneProcess.sort(null);
        assertTrue(inOneProcess.size() > 500, "actions: " + inOneProcess.size());
        assertEquals(inOneProcess, inThreeProcesses);
    }

    private static List<String> actions(int process, int processes) {
        List<String> lines = new ArrayList<>();
        List<String> first = new ArrayList<>(List.of(POOL));
        for (int i = process; i < 9; i += processes) {
            first.add(born("proxy-" + i, i));
            first.add(sync("proxy-" + i, "Persisted", 3));
        }
        lines.add(batch(1, 1000, first.toArray(String[]::new)));
        for (int turn = 2; turn < 80; turn++) {
            List<String> events = new ArrayList<>();
            for (int i = process; i < 9; i += processes) {
                String name = "proxy-" + i;
                long id = turn * 100L + i;
                events.add(call(name, id, (turn + i) % 3 == 0 ? "write" : "read"));
                if (turn > 2) {
                    int code = (turn * 7 + i) % 5 == 0 ? 255 : (turn + i) % 7 == 0 ? 253 : 0;
                    events.add(done(name, id - 100, turn % 2 == 0 ? "10.0.0.1:1" : "10.0.0.2:1", code, code == 0));
                }
            }
            lines.add(batch(turn, 1000 + turn * 40_000L, events.toArray(String[]::new)));
        }
        Run run = run(lines.toArray(String[]::new));
        assertEquals(0, run.status(), run.err());
        List<String> actions = new ArrayList<>();
        for (int turn = 0; turn < run.out().size(); turn++) {
            for (String action : run.out().get(turn).split("(?=\\{\"kind\")")) {
                if (action.startsWith("{\"kind\"")) {
                    actions.add(turn + " " + action.replaceAll("[,\\]}]+$", ""));
                }
            }
        }
        return actions;
    }
}
