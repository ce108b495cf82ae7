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

/** Reads batches. It knows the wire's field names and types, and nothing of what they mean. */
final class WireReader {
    private final JsonParser in;
    private long lastTurn = -1;

    WireReader(InputStream stream) throws IOException {
        in = new JsonFactory().createParser(stream);
    }

    /** Where reading stands, for messages. */
    String place() {
        return lastTurn < 0 ? "first batch" : "batch after turn " + lastTurn;
    }

    /** The next batch, or null at the end of input. */
    Batch next() throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_OBJECT) {
            throw bad("a batch must be an object");
        }
        Long turn = null;
        Long now = null;
        List<Event> events = null;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "turn" -> turn = whole(field);
                case "now_us" -> now = whole(field);
                case "msgs" -> events = events();
                default -> in.skipChildren();
            }
        }
        if (turn == null || now == null || events == null) {
            throw bad("missing field " + (turn == null ? "turn" : now == null ? "now_us" : "msgs"));
        }
        lastTurn = turn;
        return new Batch(turn, now, events);
    }

    private WireException bad(String what) {
        return new WireException(place() + ": " + what);
    }

    private List<Event> events() throws IOException {
        expect(JsonToken.START_ARRAY, "msgs");
        List<Event> events = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "msgs");
            events.add(event());
        }
        return events;
    }

    private Event event() throws IOException {
        Event e = new Event();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "kind" -> e.kind = text(field);
                case "proxy_id" -> e.instance = text(field);
                case "seed" -> e.seed = seed();
                case "req" -> e.request = whole(field);
                case "shot" -> e.attempt = whole(field);
                case "took_us" -> e.took = whole(field);
                case "code" -> e.code = whole(field);
                case "left_us" -> e.left = whole(field);
                case "estimate_us" -> e.costHint = whole(field);
                case "state_bits" -> e.bits = whole(field);
                case "cookie" -> e.token = whole(field);
                case "sheet" -> e.sheet = whole(field);
                case "final" -> e.closed = truth(field);
                case "host" -> e.host = text(field);
                case "band" -> e.serviceClass = text(field);
                case "tenant" -> e.tenant = in.currentToken().isNumeric() ? null : text(field);
                case "subject" -> e.key = text(field);
                case "how" -> e.how = text(field);
                case "setup" -> e.setup = SettingsReader.read(in, place());
                case "entries" -> e.entries = entries();
                case "server_stats" -> e.report = report(field);
                default -> in.skipChildren();
            }
        }
        return e;
    }

    private List<Event.Entry> entries() throws IOException {
        expect(JsonToken.START_ARRAY, "entries");
        List<Event.Entry> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, "entries");
            String host = null;
            String zone = null;
            String state = null;
            long cell = 0;
            double weight = 1;
            long started = 0;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (field) {
                    case "host" -> host = text(field);
                    case "region_part" -> zone = text(field);
                    case "stage_state" -> state = text(field);
                    case "stripe" -> cell = whole(field);
                    case "heft" -> weight = number(field);
                    case "launched_us" -> started = whole(field);
                    default -> in.skipChildren();
                }
            }
            if (host == null || state == null) {
                throw bad("missing field " + (host == null ? "host" : "stage_state") + " in entries");
            }
            entries.add(new Event.Entry(host, zone, cell, state, weight, started));
        }
        return entries;
    }

    private Map<String, Double> report(String field) throws IOException {
        expect(JsonToken.START_OBJECT, field);
        Map<String, Double> report = new HashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (in.nextToken().isNumeric()) {
                report.put(name, in.getDoubleValue());
            } else {
                in.skipChildren();
            }
        }
        return report;
    }

    private void expect(JsonToken token, String field) {
        if (in.currentToken() != token) {
            throw bad("field " + field + " holds " + in.currentToken() + " in place of " + token);
        }
    }

    private long whole(String field) throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT, field);
        return in.getLongValue();
    }

    /** A seed may use all 64 bits, with or without a sign. */
    private long seed() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT, "seed");
        return in.getNumberValue() instanceof java.math.BigInteger big ? big.longValue() : in.getLongValue();
    }

    private double number(String field) throws IOException {
        if (!in.currentToken().isNumeric()) {
            expect(JsonToken.VALUE_NUMBER_FLOAT, field);
        }
        return in.getDoubleValue();
    }

    private String text(String field) throws IOException {
        expect(JsonToken.VALUE_STRING, field);
        return in.getText();
    }

    private boolean truth(String field) {
        if (in.currentToken() != JsonToken.VALUE_TRUE && in.currentToken() != JsonToken.VALUE_FALSE) {
            expect(JsonToken.VALUE_TRUE, field);
        }
        return in.currentToken() == JsonToken.VALUE_TRUE;
    }
}
