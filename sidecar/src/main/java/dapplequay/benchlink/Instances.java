package dapplequay.benchlink;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dapplequay.Balance;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalancerApi.Request;
import dapplequay.BalancerApi;
import dapplequay.membership.ListSubscription;
import dapplequay.settings.SettingsReader;

/** The table of instances: hands each event to its module and writes down what the module does. */
final class Instances {
    private static final int SHEETS = 16;
    private static final long HINT_VALID = 1;
    private static final long CLIENT_RETRY = 2;

    private final WireWriter out;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Sheet[] sheets = new Sheet[SHEETS];
    private long turn;

    private record Instance(BalancerApi module, ListSubscription asking, SettingsReader.Setup setup,
                            WireActions actions) { }

    /** A sheet as read, and as translated for the zones of the instances that used it last. */
    private static final class Sheet {
        final List<Event.Entry> raw;
        List<String> zones;
        List<FleetEntry> translated;

        Sheet(List<Event.Entry> raw) {
            this.raw = raw;
        }
    }

    Instances(WireWriter out) {
        this.out = out;
    }

    void play(Batch batch) throws IOException {
        turn = batch.turn();
        out.open(turn);
        for (Event event : batch.events()) {
            play(batch.nowUs(), event);
        }
        out.close();
    }

    private WireException bad(String what) {
        return new WireException("batch " + turn + ": " + what);
    }

    private <T> T need(T value, String field, Event e) {
        if (value == null) {
            throw bad("missing field " + field + " in " + e.kind);
        }
        return value;
    }

    private void play(long now, Event e) {
        switch (need(e.kind, "kind", e)) {
            case "POOL" -> declare(e);
            case "BORN" -> born(e);
            case "HALT" -> {
                instance(e);
                instances.remove(e.instance);
            }
            case "SYNC" -> sync(now, e);
            case "CALL", "UNDER_WAY", "DONE", "VANISHED", "TIMEOUT_FIRED", "PROBE_RESULT", "NOTE_FROM" -> {
                Instance instance = instance(e);
                guarded(e.instance, translate(now, e, instance));
                // The simulator holds no attempt back: each starts at the moment of its decision.
                instance.actions().takeIssued().forEach(id ->
                        guarded(e.instance, () -> instance.module().attemptStarted(now, id)));
            }
            default -> throw bad("unknown kind " + e.kind);
        }
    }

    /** A failure of the module is that instance's own: it is told as such, and not as trouble on the wire. */
    private void guarded(String name, Runnable call) {
        try {
            call.run();
        } catch (UncheckedIOException e) {
            throw new WireException("the reply could not be written: " + e.getMessage());
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            out.action("EXCEPTION", name).field("what", e + (at.length == 0 ? "" : " at " + at[0])).end();
        }
    }

    private Instance instance(Event e) {
        Instance instance = instances.get(need(e.instance, "proxy_id", e));
        if (instance == null) {
            throw bad("unknown proxy_id " + e.instance + " in " + e.kind);
        }
        return instance;
    }

    private void declare(Event e) {
        sheets[sheetNumber(e)] = new Sheet(need(e.entries, "entries", e));
    }

    private int sheetNumber(Event e) {
        long number = need(e.sheet, "sheet", e);
        if (number < 0 || number >= SHEETS) {
            throw bad("sheet " + number + " is not within 0 to " + (SHEETS - 1));
        }
        return (int) number;
    }

    private void born(Event e) {
        String name = need(e.instance, "proxy_id", e);
        SettingsReader.Setup setup = need(e.setup, "setup", e);
        long seed = need(e.seed, "seed", e);
        WireActions actions = new WireActions(out, name);
        guarded(name, () -> instances.put(name, new Instance(new Balance(setup.settings(), seed, actions),
                new ListSubscription(setup.settings(), seed, actions), setup, actions)));
    }

    private void sync(long now, Event e) {
        Instance instance = instance(e);
        ListKind kind = switch (need(e.how, "how", e)) {
            case "Partial" -> ListKind.DELTA;
            case "Complete" -> ListKind.FULL;
            case "Persisted" -> ListKind.RESTORED;
            case "Error" -> ListKind.FAILED;
            default -> throw bad("unknown how " + e.how + " in SYNC");
        };
        List<FleetEntry> entries = List.of();
        if (kind != ListKind.FAILED) {
            Sheet sheet = sheets[sheetNumber(e)];
            if (sheet == null) {
                throw bad("sheet " + e.sheet + " in SYNC was never declared");
            }
            List<String> zones = instance.setup().settings().zones();
            if (!zones.equals(sheet.zones)) {
                sheet.translated = translate(sheet.raw, zones);
                sheet.zones = zones;
            }
            entries = sheet.translated;
        }
        List<FleetEntry> lines = entries;
        guarded(e.instance, () -> {
            if (kind != ListKind.FAILED) {
                instance.module().fleet(now, kind, lines);
            }
            instance.asking().listReceived(kind);
        });
    }

    private List<FleetEntry> translate(List<Event.Entry> raw, List<String> zones) {
        List<FleetEntry> entries = new ArrayList<>(raw.size());
        for (Event.Entry line : raw) {
            HostState state = switch (line.state()) {
                case "up" -> HostState.READY;
                case "draining" -> HostState.DRAINING;
                case "removed" -> HostState.REMOVED;
                default -> throw bad("unknown stage_state " + line.state() + " in entries");
            };
            int zone = zones.indexOf(line.zone());
            if (zone < 0 && (line.zone() != null || state != HostState.REMOVED)) {
                throw bad(line.zone() == null ? "missing field region_part in entries"
                        : "unknown region_part " + line.zone() + " in entries");
            }
            entries.add(new FleetEntry(line.host(), zone, (int) line.cell(), state, line.weight(),
                    line.started()));
        }
        return List.copyOf(entries);
    }

    private Runnable translate(long now, Event e, Instance instance) {
        BalancerApi module = instance.module();
        switch (e.kind) {
            case "CALL" -> {
                Integer serviceClass = instance.setup().classes().get(need(e.serviceClass, "band", e));
                if (serviceClass == null) {
                    throw bad("unknown band " + e.serviceClass + " in CALL");
                }
                Integer tenant = e.tenant == null ? Integer.valueOf(-1)
                        : instance.setup().tenants().get(e.tenant);
                if (tenant == null) {
                    throw bad("unknown tenant " + e.tenant + " in CALL");
                }
                long bits = e.bits == null ? 0 : e.bits;
                long hint = e.costHint != null && (bits & HINT_VALID) != 0 ? e.costHint : 0;
                Request request = new Request(need(e.request, "req", e), serviceClass, tenant, e.key,
                        need(e.left, "left_us", e), hint, (bits & CLIENT_RETRY) != 0);
                return () -> module.request(now, request);
            }
            case "UNDER_WAY" -> {
                long id = need(e.request, "req", e);
                int attempt = need(e.attempt, "shot", e).intValue();
                return () -> module.streamStarted(now, id, attempt);
            }
            case "DONE" -> {
                long id = need(e.request, "req", e);
                int attempt = need(e.attempt, "shot", e).intValue();
                String host = need(e.host, "host", e);
                Outcome outcome = outcome(e);
                long took = e.took == null ? 0 : e.took;
                boolean closed = need(e.closed, "final", e);
                LoadReport report = report(e);
                return () -> module.outcome(now, id, attempt, host, outcome, took, closed, report);
            }
            case "VANISHED" -> {
                long id = need(e.request, "req", e);
                return () -> module.clientLeft(now, id);
            }
            case "TIMEOUT_FIRED" -> {
                long token = need(e.token, "cookie", e);
                return () -> {
                    if (!instance.asking().timerFired(token)) {
                        module.timerFired(now, token);
                    }
                };
            }
            case "PROBE_RESULT" -> {
                String host = need(e.host, "host", e);
                Outcome outcome = outcome(e);
                long took = e.took == null ? 0 : e.took;
                LoadReport report = report(e);
                return () -> module.probeCompleted(now, host, outcome, took, report);
            }
            default -> {
                // A peer's note: this design shares nothing between balancers, so there is nobody to tell.
                return () -> { };
            }
        }
    }

    private Outcome outcome(Event e) {
        long code = need(e.code, "code", e);
        return switch ((int) Math.max(-1, Math.min(code, 256))) {
            case 0 -> Outcome.OK;
            case 255 -> Outcome.ERROR;
            case 254 -> Outcome.REFUSED;
            case 253 -> Outcome.TIMEOUT;
            case 252 -> Outcome.CONNECT_FAILED;
            case 251 -> Outcome.RESET;
            case 250 -> Outcome.CANCELLED;
            case 249 -> Outcome.NOT_SENT;
            default -> throw bad("unknown code " + code + " in " + e.kind);
        };
    }

    private static LoadReport report(Event e) {
        if (e.report == null) {
            return null;
        }
        return new LoadReport(e.report.getOrDefault("queue", Double.NaN),
                e.report.getOrDefault("inflight", Double.NaN));
    }
}
