package dapplequay.benchlink;

import dapplequay.Balance;
import dapplequay.BalancerApi;
import dapplequay.BalancerApi.FleetEntry;
import dapplequay.BalancerApi.HostState;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.LoadReport;
import dapplequay.BalancerApi.Outcome;
import dapplequay.BalancerApi.Request;
import dapplequay.membership.ListSubscription;
import dapplequay.settings.SettingsReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Holds the balancer instances, passes each event to its instance and writes the resulting actions. */
final class InstanceDispatcher {
    private static final int MAX_SHEETS = 16;
    private static final long HINT_VALID_BIT = 1;
    private static final long CLIENT_RETRY_BIT = 2;

    private final WireWriter out;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Sheet[] sheets = new Sheet[MAX_SHEETS];
    private long turn;

    private record Instance(BalancerApi module, ListSubscription subscription, SettingsReader.Setup setup,
            WireActions actions) { }

    /** A fleet list as read, and as translated for the zones of the instances that used it last. */
    private static final class Sheet {
        final List<Event.Entry> rawEntries;
        List<String> zones;
        List<FleetEntry> translatedEntries;

        Sheet(List<Event.Entry> rawEntries) {
            this.rawEntries = rawEntries;
        }
    }

    InstanceDispatcher(WireWriter out) {
        this.out = out;
    }

    void process(Batch batch) throws IOException {
        turn = batch.turn();
        out.beginReply(turn);
        for (Event event : batch.events()) {
            process(batch.nowUs(), event);
        }
        out.endReply();
    }

    private WireFormatException error(String message) {
        return new WireFormatException("batch " + turn + ": " + message);
    }

    private <T> T require(T value, String field, Event event) {
        if (value == null) {
            throw error("missing field " + field + " in " + event.kind);
        }
        return value;
    }

    private void process(long nowUs, Event event) {
        switch (require(event.kind, "kind", event)) {
            case "POOL" -> storeSheet(event);
            case "BORN" -> startInstance(event);
            case "HALT" -> {
                requireInstance(event);
                instances.remove(event.instanceName);
            }
            case "SYNC" -> applyFleetList(nowUs, event);
            case "CALL", "UNDER_WAY", "DONE", "VANISHED", "TIMEOUT_FIRED", "PROBE_RESULT", "NOTE_FROM" -> {
                Instance instance = requireInstance(event);
                runGuarded(event.instanceName, toModuleCall(nowUs, event, instance));
                // The simulator does not delay attempts: each starts at the time of its decision.
                instance.actions().takeIssuedRequests().forEach(requestId ->
                        runGuarded(event.instanceName, () -> instance.module().attemptStarted(nowUs, requestId)));
            }
            default -> throw error("unknown kind " + event.kind);
        }
    }

    /** Calls the module and reports an exception of it as an EXCEPTION action of the instance, not as bad input. */
    private void runGuarded(String name, Runnable call) {
        try {
            call.run();
        } catch (UncheckedIOException e) {
            throw new WireFormatException("the reply could not be written: " + e.getMessage());
        } catch (RuntimeException e) {
            StackTraceElement[] stackTrace = e.getStackTrace();
            out.beginAction("EXCEPTION", name)
                    .field("what", e + (stackTrace.length == 0 ? "" : " at " + stackTrace[0])).endAction();
        }
    }

    private Instance requireInstance(Event event) {
        Instance instance = instances.get(require(event.instanceName, "proxy_id", event));
        if (instance == null) {
            throw error("unknown proxy_id " + event.instanceName + " in " + event.kind);
        }
        return instance;
    }

    private void storeSheet(Event event) {
        sheets[sheetNumber(event)] = new Sheet(require(event.entries, "entries", event));
    }

    private int sheetNumber(Event event) {
        long number = require(event.sheetNumber, "sheet", event);
        if (number < 0 || number >= MAX_SHEETS) {
            throw error("sheet " + number + " is not within 0 to " + (MAX_SHEETS - 1));
        }
        return (int) number;
    }

    private void startInstance(Event event) {
        String name = require(event.instanceName, "proxy_id", event);
        SettingsReader.Setup setup = require(event.setup, "setup", event);
        long seed = require(event.seed, "seed", event);
        WireActions actions = new WireActions(out, name);
        runGuarded(name, () -> instances.put(name, new Instance(new Balance(setup.settings(), seed, actions),
                new ListSubscription(setup.settings(), seed, actions), setup, actions)));
    }

    private void applyFleetList(long nowUs, Event event) {
        Instance instance = requireInstance(event);
        ListKind kind = switch (require(event.listKind, "how", event)) {
            case "Partial" -> ListKind.DELTA;
            case "Complete" -> ListKind.FULL;
            case "Persisted" -> ListKind.RESTORED;
            case "Error" -> ListKind.FAILED;
            default -> throw error("unknown how " + event.listKind + " in SYNC");
        };
        List<FleetEntry> entries = List.of();
        if (kind != ListKind.FAILED) {
            Sheet sheet = sheets[sheetNumber(event)];
            if (sheet == null) {
                throw error("sheet " + event.sheetNumber + " in SYNC was never declared");
            }
            List<String> zones = instance.setup().settings().zones();
            if (!zones.equals(sheet.zones)) {
                sheet.translatedEntries = toFleetEntries(sheet.rawEntries, zones);
                sheet.zones = zones;
            }
            entries = sheet.translatedEntries;
        }
        List<FleetEntry> fleet = entries;
        runGuarded(event.instanceName, () -> {
            if (kind != ListKind.FAILED) {
                instance.module().fleet(nowUs, kind, fleet);
            }
            instance.subscription().listReceived(kind);
        });
    }

    private List<FleetEntry> toFleetEntries(List<Event.Entry> rawEntries, List<String> zones) {
        List<FleetEntry> entries = new ArrayList<>(rawEntries.size());
        for (Event.Entry entry : rawEntries) {
            HostState state = switch (entry.state()) {
                case "up" -> HostState.READY;
                case "draining" -> HostState.DRAINING;
                case "removed" -> HostState.REMOVED;
                default -> throw error("unknown stage_state " + entry.state() + " in entries");
            };
            int zone = zones.indexOf(entry.zone());
            if (zone < 0 && (entry.zone() != null || state != HostState.REMOVED)) {
                throw error(entry.zone() == null ? "missing field region_part in entries"
                        : "unknown region_part " + entry.zone() + " in entries");
            }
            entries.add(new FleetEntry(entry.host(), zone, (int) entry.cell(), state, entry.weight(),
                    entry.startedUs()));
        }
        return List.copyOf(entries);
    }

    private Runnable toModuleCall(long nowUs, Event event, Instance instance) {
        BalancerApi module = instance.module();
        switch (event.kind) {
            case "CALL" -> {
                Integer serviceClass = instance.setup().classes().get(require(event.serviceClass, "band", event));
                if (serviceClass == null) {
                    throw error("unknown band " + event.serviceClass + " in CALL");
                }
                Integer tenant = event.tenant == null ? Integer.valueOf(-1)
                        : instance.setup().tenants().get(event.tenant);
                if (tenant == null) {
                    throw error("unknown tenant " + event.tenant + " in CALL");
                }
                long stateBits = event.stateBits == null ? 0 : event.stateBits;
                long hintUs = event.costHintUs != null && (stateBits & HINT_VALID_BIT) != 0 ? event.costHintUs : 0;
                Request request = new Request(require(event.request, "req", event), serviceClass, tenant, event.key,
                        require(event.leftUs, "left_us", event), hintUs, (stateBits & CLIENT_RETRY_BIT) != 0);
                return () -> module.request(nowUs, request);
            }
            case "UNDER_WAY" -> {
                long requestId = require(event.request, "req", event);
                int attempt = require(event.attempt, "shot", event).intValue();
                return () -> module.streamStarted(nowUs, requestId, attempt);
            }
            case "DONE" -> {
                long requestId = require(event.request, "req", event);
                int attempt = require(event.attempt, "shot", event).intValue();
                String host = require(event.host, "host", event);
                Outcome outcome = toOutcome(event);
                long tookUs = event.tookUs == null ? 0 : event.tookUs;
                boolean isFinal = require(event.isFinal, "final", event);
                LoadReport report = toLoadReport(event);
                return () -> module.outcome(nowUs, requestId, attempt, host, outcome, tookUs, isFinal, report);
            }
            case "VANISHED" -> {
                long requestId = require(event.request, "req", event);
                return () -> module.clientLeft(nowUs, requestId);
            }
            case "TIMEOUT_FIRED" -> {
                long timerToken = require(event.timerToken, "cookie", event);
                return () -> {
                    if (!instance.subscription().timerFired(timerToken)) {
                        module.timerFired(nowUs, timerToken);
                    }
                };
            }
            case "PROBE_RESULT" -> {
                String host = require(event.host, "host", event);
                Outcome outcome = toOutcome(event);
                long tookUs = event.tookUs == null ? 0 : event.tookUs;
                LoadReport report = toLoadReport(event);
                return () -> module.probeCompleted(nowUs, host, outcome, tookUs, report);
            }
            default -> {
                // NOTE_FROM: balancers share nothing, so a peer's message is ignored.
                return () -> { };
            }
        }
    }

    private Outcome toOutcome(Event event) {
        long outcomeCode = require(event.outcomeCode, "code", event);
        return switch ((int) Math.max(-1, Math.min(outcomeCode, 256))) {
            case 0 -> Outcome.OK;
            case 255 -> Outcome.ERROR;
            case 254 -> Outcome.REFUSED;
            case 253 -> Outcome.TIMEOUT;
            case 252 -> Outcome.CONNECT_FAILED;
            case 251 -> Outcome.RESET;
            case 250 -> Outcome.CANCELLED;
            case 249 -> Outcome.NOT_SENT;
            default -> throw error("unknown code " + outcomeCode + " in " + event.kind);
        };
    }

    private static LoadReport toLoadReport(Event event) {
        if (event.loadReport == null) {
            return null;
        }
        return new LoadReport(event.loadReport.getOrDefault("queue", Double.NaN),
                event.loadReport.getOrDefault("inflight", Double.NaN));
    }
}
