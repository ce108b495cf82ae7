package dapplequay.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dapplequay.settings.SettingsReader;

/** Parses batches: checks the names and types of fields, not their meaning. */
final class WireReader {
    private final JsonParser parser;
    private long lastTurn = -1;

    WireReader(InputStream stream) throws IOException {
        parser = new JsonFactory().createParser(stream);
    }

    /** Returns the position in the input, for error messages. */
    String position() {
        return lastTurn < 0 ? "first batch" : "batch after turn " + lastTurn;
    }

    /** Returns the next batch, or null at the end of the input. */
    Batch nextBatch() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_OBJECT) {
            throw error("a batch must be an object");
        }
        Long turn = null;
        Long nowUs = null;
        List<Event> events = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            switch (field) {
                case "turn" -> turn = readLong(field);
                case "now_us" -> nowUs = readLong(field);
                case "msgs" -> events = readEvents();
                default -> parser.skipChildren();
            }
        }
        if (turn == null || nowUs == null || events == null) {
            throw error("missing field " + (turn == null ? "turn" : nowUs == null ? "now_us" : "msgs"));
        }
        lastTurn = turn;
        return new Batch(turn, nowUs, events);
    }

    private WireFormatException error(String message) {
        return new WireFormatException(position() + ": " + message);
    }

    private List<Event> readEvents() throws IOException {
        expect(JsonToken.START_ARRAY, "msgs");
        List<Event> events = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "msgs");
            events.add(readEvent());
        }
        return events;
    }

    private Event readEvent() throws IOException {
        Event event = new Event();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "kind" -> event.kind = readText(field);
                case "proxy_id" -> event.instanceName = readText(field);
                case "seed" -> event.seed = readSeed();
                case "req" -> event.request = readLong(field);
                case "shot" -> event.attempt = readLong(field);
                case "took_us" -> event.tookUs = readLong(field);
                case "code" -> event.outcomeCode = readLong(field);
                case "left_us" -> event.leftUs = readLong(field);
                case "estimate_us" -> event.costHintUs = readLong(field);
                case "state_bits" -> event.stateBits = readLong(field);
                case "cookie" -> event.timerToken = readLong(field);
                case "sheet" -> event.sheetNumber = readLong(field);
                case "final" -> event.isFinal = readBoolean(field);
                case "host" -> event.host = readText(field);
                case "band" -> event.serviceClass = readText(field);
                case "tenant" -> event.tenant = parser.currentToken().isNumeric() ? null : readText(field);
                case "subject" -> event.key = readText(field);
                case "how" -> event.listKind = readText(field);
                case "setup" -> event.setup = SettingsReader.read(parser, position());
                case "entries" -> event.entries = readEntries();
                case "server_stats" -> event.loadReport = readLoadReport(field);
                default -> parser.skipChildren();
            }
        }
        return event;
    }

    private List<Event.Entry> readEntries() throws IOException {
        expect(JsonToken.START_ARRAY, "entries");
        List<Event.Entry> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "entries");
            String host = null;
            String zone = null;
            String state = null;
            long cell = 0;
            double weight = 1;
            long startedUs = 0;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                if (parser.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (field) {
                    case "host" -> host = readText(field);
                    case "region_part" -> zone = readText(field);
                    case "stage_state" -> state = readText(field);
                    case "stripe" -> cell = readLong(field);
                    case "heft" -> weight = readDouble(field);
                    case "launched_us" -> startedUs = readLong(field);
                    default -> parser.skipChildren();
                }
            }
            if (host == null || state == null) {
                throw error("missing field " + (host == null ? "host" : "stage_state") + " in entries");
            }
            entries.add(new Event.Entry(host, zone, cell, state, weight, startedUs));
        }
        return entries;
    }

    private Map<String, Double> readLoadReport(String field) throws IOException {
        expect(JsonToken.START_OBJECT, field);
        Map<String, Double> report = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (parser.nextToken().isNumeric()) {
                report.put(name, parser.getDoubleValue());
            } else {
                parser.skipChildren();
            }
        }
        return report;
    }

    private void expect(JsonToken token, String field) {
        if (parser.currentToken() != token) {
            throw error("field " + field + " holds " + parser.currentToken() + " in place of " + token);
        }
    }

    private long readLong(String field) throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT, field);
        return parser.getLongValue();
    }

    /** Reads a seed of 64 bits, signed or unsigned. */
    private long readSeed() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT, "seed");
        return parser.getNumberValue() instanceof java.math.BigInteger large ? large.longValue()
                : parser.getLongValue();
    }

    private double readDouble(String field) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            expect(JsonToken.VALUE_NUMBER_FLOAT, field);
        }
        return parser.getDoubleValue();
    }

    private String readText(String field) throws IOException {
        expect(JsonToken.VALUE_STRING, field);
        return parser.getText();
    }

    private boolean readBoolean(String field) {
        if (parser.currentToken() != JsonToken.VALUE_TRUE && parser.currentToken() != JsonToken.VALUE_FALSE) {
            expect(JsonToken.VALUE_TRUE, field);
        }
        return parser.currentToken() == JsonToken.VALUE_TRUE;
    }
}
