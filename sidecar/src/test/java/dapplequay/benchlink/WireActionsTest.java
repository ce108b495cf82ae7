package dapplequay.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The JSON form of each action. */
class WireActionsTest {

    @Test
    void everyActionIsWrittenWithItsFieldsInOrder() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        WireWriter out = new WireWriter(bytes);
        WireActions actions = new WireActions(out, "proxy-4");
        out.beginReply(9);
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
        out.endReply();
        String instanceField = ",\"proxy_id\":\"proxy-4\"";
        assertEquals("{\"turn\":9,\"output\":["
                + "{\"kind\":\"ISSUE\"" + instanceField + ",\"req\":1,\"within_us\":80,\"host\":\"h:1\"},"
                + "{\"kind\":\"RETRACT\"" + instanceField + ",\"req\":1,\"shot\":0},"
                + "{\"kind\":\"NOT_NOW\"" + instanceField + ",\"req\":2,\"pause_us\":50},"
                + "{\"kind\":\"LOSE\"" + instanceField + ",\"req\":3},"
                + "{\"kind\":\"SET_TIMER\"" + instanceField + ",\"after_us\":7,\"cookie\":9223372036854775807},"
                + "{\"kind\":\"FOLLOW\"" + instanceField + ",\"active\":false},"
                + "{\"kind\":\"QUERY_ALL\"" + instanceField + "},"
                + "{\"kind\":\"TEST\"" + instanceField + ",\"host\":\"h:2\"},"
                + "{\"kind\":\"RELEASE\"" + instanceField + ",\"host\":\"h:3\"},"
                + "{\"kind\":\"WRITE_PEER\"" + instanceField + ",\"peer\":\"all\",\"body\":\"aGkgNw==\"},"
                + "{\"kind\":\"WRITE_PEER\"" + instanceField + ",\"peer\":2,\"body\":\"\"},"
                + "{\"kind\":\"DEBUG\"" + instanceField + ",\"what\":\"said \\\"so\\\"\"}"
                + "]}\n", bytes.toString(StandardCharsets.UTF_8));
    }
}
