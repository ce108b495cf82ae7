package dapplequay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Starts the program as a process and tests it from outside. */
@Timeout(90)
class ProgramTest {
    private static final Path EXAMPLE = Path.of("example/config.json");

    @TempDir
    private Path folder;

    private static Process start(String... args) throws IOException {
        List<String> command = Stream.concat(Stream.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString(),
                "-cp", System.getProperty("java.class.path"), "dapplequay.cli.Main"), Stream.of(args)).toList();
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        return builder.start();
    }

    private static String text(InputStream stream) throws IOException {
        return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }

    private Path config(String find, String replace) throws IOException {
        String text = Files.readString(EXAMPLE).replace("127.0.0.1:7070", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:1");
        assertThat(text).contains(find);
        return Files.writeString(folder.resolve("config.json"), text.replace(find, replace));
    }

    @Test
    void servesAfterItsStartAndExitsInOrderOnSigterm() throws Exception {
        Process program = start("serve", "--config", config("00c0ffee", "00c0ffee").toString());
        try {
            BufferedReader log = program.errorReader();
            Matcher address;
            do {
                address = Pattern.compile("serving on (127[.0-9]+:\\d+)").matcher(String.valueOf(log.readLine()));
            } while (!address.find());
            HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest health = HttpRequest.newBuilder(URI.create("http://" + address.group(1) + "/healthz")).build();
            assertThat(client.send(health, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(200);
            HttpRequest pay = HttpRequest.newBuilder(URI.create("http://" + address.group(1) + "/pay/1"))
                    .header("X-Call-Id", "ab").header("X-Caller", "shop-a").header("X-Budget-Ms", "800")
                    .header("Idempotency-Key", "k").POST(HttpRequest.BodyPublishers.ofString("{}")).build();
            HttpResponse<String> answer = client.send(pay, HttpResponse.BodyHandlers.ofString());
            assertThat(answer.statusCode()).as("no server listens at the listed address").isEqualTo(503);
            assertThat(answer.headers().firstValue("Retry-After")).contains("0.25");
            program.toHandle().destroy();
            assertThat(program.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(log.lines()).anyMatch(line -> line.endsWith("ended"));
            assertThat(program.exitValue()).isEqualTo(128 + 15);
        } finally {
            program.destroyForcibly();
        }
    }

    /** Returns discovery's first call after answering it with an empty list; the watch after it stays unanswered. */
    private static String answerFirstCall(ServerSocket discovery) throws IOException {
        Socket socket = discovery.accept();
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        String call = in.readLine();
        while (!in.readLine().isEmpty()) { }
        String list = "{\"rev\":3,\"all\":true,\"targets\":[]}";
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.UTF_8));
        in.readLine();
        return call;
    }

    @Test
    void aReloadMovesTheDiscoveryWatchAndAnInvalidFileIsIgnored() throws Exception {
        try (ServerSocket old = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
                ServerSocket next = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            old.setSoTimeout(60_000);
            next.setSoTimeout(60_000);
            String good = Files.readString(config("127.0.0.1:1", "127.0.0.1:" + old.getLocalPort()));
            Path file = folder.resolve("config.json");
            Process program = start("serve", "--config", file.toString());
            try {
                assertThat(answerFirstCall(old)).startsWith("GET /v1/servers?after=");
                BufferedReader log = program.errorReader();
                for (String text : List.of("{", good.replace("127.0.0.1:" + old.getLocalPort(),
                        "127.0.0.1:" + next.getLocalPort()))) {
                    Files.writeString(file, text);
                    new ProcessBuilder("kill", "-HUP", String.valueOf(program.pid())).start().waitFor();
                    String line;
                    do {
                        line = log.readLine();
                        assertThat(line).as("the process keeps running").isNotNull();
                    } while (!line.contains("configuration"));
                    assertThat(line).contains(text.equals("{") ? "kept as it was" : "read again");
                }
                assertThat(answerFirstCall(next)).isEqualTo("GET /v1/servers HTTP/1.1");
            } finally {
                program.destroyForcibly();
            }
        }
    }

    /**
     * Guards against missed reloads: a process started with SIGHUP ignored never read its new configuration and logged
     * nothing, so requests of a newly added class failed for the rest of the day.
     */
    @Test
    void configurationIsReloadedThoughSighupWasIgnoredAtTheStart() throws Exception {
        Path file = config("00c0ffee", "00c0ffee");
        try (SidecarProcess program = new SidecarProcess(file, null, SidecarProcess.freePort(), true, List.of())
                .awaitReady()) {
            program.awaitLog("SIGHUP was ignored");
            Files.writeString(file, Files.readString(file).replace("\"name\": \"quote\"", "\"name\": \"ask\""));
            program.signal("HUP");
            program.awaitLog("configuration read again");
            Files.writeString(file, "{");
            program.awaitLog("configuration kept as it was");
        }
    }

    /** The deployment's command restores SIGHUP, so that a file is read at the signal and not before. */
    @Test
    void theDeploymentCommandRestoresSighup() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \"exec ")).findFirst().orElseThrow();
        List<String> launcher = List.of(run.substring("run = \"exec ".length(), run.indexOf(" java ")).split(" "));
        Path file = config("00c0ffee", "00c0ffee");
        try (SidecarProcess program = new SidecarProcess(file, null, SidecarProcess.freePort(), true, launcher)
                .awaitReady()) {
            program.signal("HUP");
            program.awaitLog("configuration read again");
            assertThat(program.log).noneMatch(line -> line.contains("ignored"));
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "\"seed\": \"00c0ffee00c0ffee\"; \"seed\": \"x\"; seed", "\"send_cap\": 3; \"send_cap\": \"3\"; send_cap",
        "\"locality\": \"north\"; \"locality\": \"up\"; locality", "\"listen\"; \"listens\"; listen",
        "\"endpoint\": \"127.0.0.1:9001\"; \"endpoint\": \"there\"; there",
        "\"balancers\": 1; \"balancers\" 1; unreadable",
    })
    void invalidConfigurationFailsTheStartWithOneErrorLine(String find, String replace, String named) throws Exception {
        String file = config(find, replace).toString();
        for (String command : List.of("serve", "check-config")) {
            Process program = start(command, "--config", file);
            String errorOutput = text(program.getErrorStream());
            assertThat(program.waitFor()).isNotZero();
            assertThat(errorOutput.lines()).hasSize(1);
            assertThat(errorOutput).contains(named).doesNotContain("Exception");
        }
    }

    @Test
    void otherCommandsPrintTheirResults() throws Exception {
        Process good = start("check-config", "--config", EXAMPLE.toString());
        assertThat(text(good.getInputStream())).isEqualTo("good\n");
        assertThat(text(start("version").getInputStream())).startsWith("dapplequay ");
        Process wrong = start("dance");
        assertThat(text(wrong.getErrorStream())).contains("usage:");
        assertThat(wrong.waitFor()).isEqualTo(Main.EXIT_BAD_USAGE);
        Process simulated = start("simhost");
        simulated.getOutputStream().write("{\"now_us\":1,\"turn\":1,\"msgs\":[]}\n".getBytes(StandardCharsets.UTF_8));
        simulated.getOutputStream().close();
        assertThat(text(simulated.getInputStream())).isEqualTo("{\"turn\":1,\"output\":[]}\n");
    }
}
