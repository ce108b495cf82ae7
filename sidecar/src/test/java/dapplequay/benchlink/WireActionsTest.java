package dapplequay.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Each action of the interface in the wire's words. */
class WireActionsTest {

    @Test
    void everyActionIsWrittenInOrder() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        WireWriter out = new WireWriter(bytes);
        WireActions actions = new WireActions(out, "proxy-4");
        out.open(9);
        actions.send(1, "h:1", 80, 90);
        actions.cancel(1, 0);
        actions.refuse(2, 50);
        actions.fail(3);
        actions.setTimer(7, Long.MAX_VALUE);
        actions.watchFleet(false);
        actions.fetchFleet();
        actions.probe("h:2");
        actions.closeIdle("h:3");
        actions.sendToPeer(-1, "hi 7".getBytes(StandardCharsets.UTF_8));
        actions.sendToPeer(2, new byte[0]);
        actions.log("said \"so\"");
        out.close();
        String p = ",\"proxy_id\":\"proxy-4\"";
        assertEquals("{\"turn\":9,\"output\":["
                + "{\"kind\":\"ISSUE\"" + p + ",\"req\":1,\"within_us\":80,\"host\":\"h:1\"},"
                + "{\"kind\":\"RETRACT\"" + p + ",\"req\":1,\"shot\":0},"
                + "{\"kind\":\"NOT_NOW\"" + p + ",\"req\":2,\"pause_us\":50},"
                + "{\"kind\":\"LOSE\"" + p + ",\"req\":3},"
                + "{\"kind\":\"SET_TIMER\"" + p + ",\"after_us\":7,\"cookie\":9223372036854775807},"
                + "{\"kind\":\"FOLLOW\"" + p + ",\"active\":false},"
                + "{\"kind\":\"QUERY_ALL\"" + p + "},"
                + "{\"kind\":\"TEST\"" + p + ",\"host\":\"h:2\"},"
                + "{\"kind\":\"RELEASE\"" + p + ",\"host\":\"h:3\"},"
                + "{\"kind\":\"WRITE_PEER\"" + p + ",\"peer\":\"all\",\"body\":\"aGkgNw==\"},"
                + "{\"kind\":\"WRITE_PEER\"" + p + ",\"peer\":2,\"body\":\"\"},"
                + "{\"kind\":\"DEBUG\"" + p + ",\"what\":\"said \\\"so\\\"\"}"
                + "]}\n", bytes.toString(StandardCharsets.UTF_8));
    }
}
