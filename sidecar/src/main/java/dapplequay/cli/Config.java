package dapplequay.cli;

import dapplequay.net.Sidecar;
import dapplequay.settings.Json;
import dapplequay.settings.MissingKeys;
import dapplequay.settings.SettingsException;
import dapplequay.settings.SettingsReader;
import dapplequay.settings.SettingsValidator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads a sidecar's configuration file. Addresses in the environment take precedence over those in the file. */
final class Config {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;

    private Config() { }

    /** Reads the file; SettingsException, with a message of one line, if the configuration is invalid. */
    static Sidecar.Options read(Path file, Map<String, String> environment) {
        return read(file.toString(), fields(file), environment);
    }

    /** Reads the configuration from a parsed file; {@code source} names the file in error messages. */
    static Sidecar.Options read(String source, Map<?, ?> fields, Map<String, String> environment) {
        return parseOptions(source, fields, environment, environment.get("EDGE_DISCOVERY"));
    }

    /**
     * Reads a file that replaces {@code previous}. Discovery's address is taken from the file alone, as the environment
     * can't change while the process runs. All keys of {@code previous} but {@code known} are required.
     */
    static Sidecar.Options reread(String source, Map<?, ?> fields, Map<?, ?> previous, Map<String,
            String> environment) {
        Map<Object, Object> required = new LinkedHashMap<>(previous);
        required.remove("known");
        String missing = MissingKeys.firstMissing(required, fields);
        if (missing != null) {
            throw new SettingsException(source + ": " + missing + " is missing");
        }
        return parseOptions(source, fields, environment, null);
    }

    private static Sidecar.Options parseOptions(String source, Map<?, ?> fields, Map<String, String> environment,
            String discovery) {
        String management = environment.get("EDGE_MANAGEMENT");
        boolean hasManagement = fields.get("management") != null || management != null && !management.isEmpty();
        return new Sidecar.Options(address(source, fields, "listen", environment.get("EDGE_LISTEN")),
                hasManagement ? address(source, fields, "management", management) : null,
                address(source, fields, "discovery", discovery), seed(source, fields), cores(source, fields),
                limit(source, fields, "sockets", DEFAULT_SOCKETS),
                limit(source, fields, "memory_mb", DEFAULT_MEMORY_MB),
                fields.get("known"),
                SettingsValidator.validated(SettingsReader.of(fields.get("settings"), source), source),
                inheritsListener(environment.get("EDGE_SOCKET_FD")));
    }

    /** True if the listening socket is inherited as descriptor 0, the only one that a Java process can take over. */
    private static boolean inheritsListener(String descriptor) {
        if (descriptor == null || descriptor.isEmpty()) {
            return false;
        }
        if (!descriptor.equals("0")) {
            throw new SettingsException("EDGE_SOCKET_FD: only descriptor 0 can be taken over, not " + descriptor);
        }
        return true;
    }

    /** Parses the file; SettingsException if it is not a JSON object. */
    static Map<?, ?> fields(Path file) {
        Object tree;
        try {
            tree = Json.parse(Files.readAllBytes(file));
        } catch (IOException e) {
            String reason = e instanceof java.nio.file.NoSuchFileException ? "no such file"
                    : String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new SettingsException(file + ": unreadable: " + reason);
        }
        if (tree instanceof Map<?, ?> fields) {
            return fields;
        }
        throw new SettingsException(file + ": must hold an object");
    }

    private static InetSocketAddress address(String source, Map<?, ?> fields, String name, String override) {
        Object value = override != null && !override.isEmpty() ? override : fields.get(name);
        String text = value instanceof String s ? s : "";
        int colon = text.lastIndexOf(':');
        try {
            if (text.substring(0, Math.max(0, colon)).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Reported below, as for any other text that is not an address.
        }
        throw new SettingsException(source + ": " + name + " is not an address with a port: " + value);
    }

    private static long seed(String source, Map<?, ?> fields) {
        Object value = fields.get("seed");
        if (value instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong((String) value, 16);
        } catch (ClassCastException | NumberFormatException e) {
            throw new SettingsException(source + ": seed is not a hexadecimal number: " + value);
        }
    }

    private static double cores(String source, Map<?, ?> fields) {
        Object value = fields.get("limits") instanceof Map<?, ?> map ? map.get("cores") : null;
        if (value != null && !(value instanceof Number n && n.doubleValue() > 0)) {
            throw new SettingsException(source + ": limits.cores is not a number above 0: " + value);
        }
        return value == null ? 1 : ((Number) value).doubleValue();
    }

    private static int limit(String source, Map<?, ?> fields, String name, int defaultValue) {
        Object limits = fields.get("limits");
        Object value = limits instanceof Map<?, ?> map ? map.get(name) : null;
        if (value != null && !(value instanceof Number)) {
            throw new SettingsException(source + ": limits." + name + " is not a number: " + value);
        }
        return value == null ? defaultValue : ((Number) value).intValue();
    }
}
