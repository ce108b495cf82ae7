package dapplequay.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointsTest {

    private static Endpoints.EndpointUpdate list(int rev, boolean all, String... targets) throws IOException {
        String text = "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
        return Endpoints.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String target(String uid, int port, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"a\",\"pod_group\":3,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** Applies the answer to the current call; returns the endpoints that accept no new work any more. */
    private static Set<Endpoints.Endpoint> apply(Endpoints table, Endpoints.EndpointUpdate update) {
        return table.apply(update, table.nextRequest(0), 0, 0).retired();
    }

    @Test
    void onlyServingHostsHaveAnEndpointAndAPartialListKeepsTheOthers() throws IOException {
        Endpoints table = new Endpoints();
        apply(table, list(1, true, target("s1", 1, "SERVING"), target("s2", 2, "SERVING"),
                target("s3", 3, "DRAINING")));
        assertThat(table.endpointOf("s1").address().getPort()).isEqualTo(1);
        assertThat(table.endpointOf("s3")).isNull();
        assertThat(apply(table, list(2, false, target("s1", 1, "DRAINING"), target("s2", 9, "SERVING"))))
                .extracting(a -> a.address().getPort()).containsExactlyInAnyOrder(1, 2);
        assertThat(table.endpointOf("s1")).isNull();
        assertThat(table.endpointOf("s2").address().getPort()).isEqualTo(9);
        apply(table, list(3, false, "{\"uid\":\"s2\",\"state\":\"DELETED\"}"));
        assertThat(table.endpointOf("s2")).isNull();
        apply(table, list(7, true, target("s4", 4, "SERVING")));
        assertThat(table.endpointOf("s3")).isNull();
        assertThat(table.revision()).isEqualTo(7);
    }

    /** A process at the address of a removed host, or restarted under the same uid, gets none of its connections. */
    @Test
    void replacedOrRestartedProcessGetsANewEndpoint() throws IOException {
        Endpoints table = new Endpoints();
        apply(table, list(1, true, target("s1", 1, "SERVING")));
        assertThat(apply(table, list(2, true, target("s2", 1, "SERVING")))).extracting(Endpoints.Endpoint::uid)
                .containsExactly("s1");
        assertThat(apply(table, list(3, false, target("s2", 1, "SERVING").replace("boot_ms\":0", "boot_ms\":9"))))
                .extracting(Endpoints.Endpoint::uid).containsExactly("s2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "[]", "{\"rev\":1,\"all\":true,\"targets\":[{}]}", "{\"rev\":1} x",
        "{\"rev\":-1,\"all\":true,\"targets\":[]}", "{\"rev\":9223372036854775808,\"all\":true,\"targets\":[]}",
        "{\"rev\":1.5,\"all\":true,\"targets\":[]}",
        "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"state\":\"DELETED\"},{\"uid\":\"a\",\"state\":\"DELETED\"}]}",
        "{\"rev\":\"1\",\"all\":true,\"targets\":[]}", "{\"rev\":1,\"all\":true,\"targets\":[7]}",
        "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"state\":\"LOST\",\"endpoint\":\"127.0.0.1:1\"}]}",
        "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"state\":\"SERVING\",\"endpoint\":\"host:1\"}]}",
        "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a\",\"state\":\"SERVING\",\"endpoint\":\"127.0.0.1\"}]}"})
    void malformedListIsRejected(String text) {
        assertThatThrownBy(() -> Endpoints.parse(text.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(IOException.class);
    }
}
