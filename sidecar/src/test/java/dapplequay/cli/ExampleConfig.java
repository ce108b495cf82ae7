package dapplequay.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Variants of the example configuration, as text. */
final class ExampleConfig {
    private ExampleConfig() { }

    /** Returns it with this listening port, servers at these ports, in one zone and pod, and ample quotas. */
    static String of(int listenPort, List<Integer> serverPorts) throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < serverPorts.size(); i++) {
            targets.append(i == 0 ? "" : ",").append("{\"uid\":\"s").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(serverPorts.get(i)).append("\",\"az\":\"north\",\"pod_group\":0,\"state\":\"SERVING\"}");
        }
        return Files.readString(Path.of("example/config.json"))
                .replaceAll("(?s)\"known\": \\{.*?]},",
                        "\"known\": {\"rev\":1,\"all\":true,\"targets\":[" + targets + "]},")
                .replaceAll("\"listen\": \"[^\"]*\"", "\"listen\": \"127.0.0.1:" + listenPort + "\"")
                .replace("\"quota_per_s\": 20.0", "\"quota_per_s\": 2000.0");
    }
}
