package dapplequay.cli;

import dapplequay.net.Sidecar;
import dapplequay.settings.Completeness;
import dapplequay.settings.Json;
import dapplequay.settings.Ranges;
import dapplequay.settings.SettingsException;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads a sidecar's configuration: the file, with the addresses of the environment before its own. */
final class Config {
    private static final int SOCKETS = 1024;
    private static final int MEMORY_MB = 192;

    private Config() { }

    /** SettingsException, with one plain line, where the configuration is no good. */
    static Sidecar.Options read(Path file, Map<String, String> environment) {
        return read(file.toString(), fields(file), environment);
    }

    /** The same of a file that has been read. */
    static Sidecar.Options read(String place, Map<?, ?> fields, Map<String, String> environment) {
        return plan(place, fields, environment, environment.get("EDGE_DISCOVERY"));
    }

    /**
     * The same for a file that replaces the one read before: where discovery is, it says alone, as the environment
     * stays as it was. What {@code before} has, it has to have too, but for a list that was kept.
     */
    static Sidecar.Options reread(String place, Map<?, ?> fields, Map<?, ?> before,
            Map<String, String> environment) {
        Map<Object, Object> wanted = new LinkedHashMap<>(before);
        wanted.remove("known");
        String missing = Completeness.missing(wanted, fields);
        if (missing != null) {
            throw new SettingsException(place + ": " + missing + " is missing");
        }
        return plan(place, fields, environment, null);
    }

    private static Sidecar.Options plan(String place, Map<?, ?> fields, Map<String, String> environment,
                                     String discovery) {
        String management = environment.get("EDGE_MANAGEMENT");
        boolean managed = fields.get("management") != null || management != null && !management.isEmpty();
        return new Sidecar.Options(address(place, fields, "listen", environment.get("EDGE_LISTEN")),
                managed ? address(place, fields, "management", management) : null,
                address(place, fields, "discovery", discovery), seed(place, fields), cores(place, fields),
                limit(place, fields, "sockets", SOCKETS), limit(place, fields, "memory_mb", MEMORY_MB),
                fields.get("known"),
                Ranges.checked(SettingsReader.of(fields.get("settings"), place), place),
                inherits(environment.get("EDGE_SOCKET_FD")));
    }

    /** Whether the clients' socket is descriptor 0: the one that a Java process can take over. */
    private static boolean inherits(String descriptor) {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.equals("0")) {
            throw new SettingsException("EDGE_SOCKET_FD: only descriptor 0 can be taken over, not " + descriptor);
        }
        return true;
    }

    /** The file as a tree; SettingsException where it is none. */
    static Map<?, ?> fields(Path file) {
        Object tree;
        try {
            tree = Json.parse(Files.readAllBytes(file));
        } catch (IOException e) {
            String why = e instanceof java.nio.file.NoSuchFileException ? "no such file"
                    : String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new SettingsException(file + ": unreadable: " + why);
        }
        if (tree instanceof Map<?, ?> fields) {
            return fields;
        }
        throw new SettingsException(file + ": must hold an object");
    }

    private static InetSocketAddress address(String place, Map<?, ?> fields, String name, String before) {
        Object value = before != null && !before.isEmpty() ? before : fields.get(name);
        String text = value instanceof String s ? s : "";
        int colon = text.lastIndexOf(':');
        try {
            if (text.substring(0, Math.max(0, colon)).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Told below, as for any other text that is no address.
        }
        throw new SettingsException(place + ": " + name + " is not an address with a port: " + value);
    }

    private static long seed(String place, Map<?, ?> fields) {
        Object value = fields.get("seed");
        if (value instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong((String) value, 16);
        } catch (ClassCastException | NumberFormatException e) {
            throw new SettingsException(place + ": seed is not a hexadecimal number: " + value);
        }
    }

    private static double cores(String place, Map<?, ?> fields) {
        Object value = fields.get("limits") instanceof Map<?, ?> map ? map.get("cores") : null;
        if (value != null && !(value instanceof Number n && n.doubleValue() > 0)) {
            throw new SettingsException(place + ": limits.cores is not a number above 0: " + value);
        }
        return value == null ? 1 : ((Number) value).doubleValue();
    }

    private static int limit(String place, Map<?, ?> fields, String name, int absent) {
        Object limits = fields.get("limits");
        Object value = limits instanceof Map<?, ?> map ? map.get(name) : null;
        if (value != null && !(value instanceof Number)) {
            throw new SettingsException(place + ": limits." + name + " is not a number: " + value);
        }
        return value == null ? absent : ((Number) value).intValue();
    }
}
