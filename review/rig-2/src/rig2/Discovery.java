package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A discovery stand-in, asked by its callers: the whole list, and watches that wait for a newer version. */
final class Discovery implements AutoCloseable {
    private record Entry(Upstream server, String zone, String state, long bootMs, long revision) { }

    private final Record record;
    private final ServerSocket listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision;

    Discovery(Record record, List<Upstream> servers) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        servers.forEach(server -> set(server, "north", "SERVING", 0));
        Threads.start("discovery", this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Changes a server's entry; DELETED removes it. */
    synchronized void set(Upstream server, String zone, String state, long bootMs) {
        entries.put(server.uid, new Entry(server, zone, state, bootMs, ++revision));
        notifyAll();
    }

    private void acceptAll() throws IOException {
        while (!listener.isClosed()) {
            Socket connection = listener.accept();
            Threads.start("discovery call", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws Exception {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Message call = Message.readHead(in); call != null; call = Message.readHead(in)) {
                String text = list(call.path());
                record.line("discovery answers %s with %s", call.path(), text.length() > 300 ? text.substring(0, 40) + "..." : text);
                connection.getOutputStream().write(Message.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + text.length() + "\r\n\r\n" + text));
            }
        }
    }

    private synchronized String list(String target) throws InterruptedException {
        long after = parameter(target, "after");
        long untilMs = System.currentTimeMillis() + Math.max(0, parameter(target, "wait_ms"));
        while (after >= 0 && revision <= after && System.currentTimeMillis() < untilMs) {
            wait(Math.max(1, untilMs - System.currentTimeMillis()));
        }
        List<String> targets = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (after < 0 ? !entry.state.equals("DELETED") : entry.revision > after) {
                targets.add("{\"uid\":\"" + entry.server.uid + "\",\"endpoint\":\"" + entry.server.endpoint()
                        + "\",\"az\":\"" + entry.zone + "\",\"model\":\"quick\",\"pod_group\":" + entry.server.cell
                        + ",\"state\":\"" + entry.state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + entry.bootMs + "}");
            }
        }
        return "{\"rev\":" + revision + ",\"all\":" + (after < 0) + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** Returns the whole list, as a sidecar had it last. */
    String known() throws InterruptedException {
        return list("/v1/servers");
    }

    private static long parameter(String target, String name) {
        int at = target.indexOf(name + "=");
        return at < 0 ? -1 : Long.parseLong(target.substring(at + name.length() + 1).split("&")[0]);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
