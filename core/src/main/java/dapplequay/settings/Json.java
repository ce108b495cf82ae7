package dapplequay.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts small JSON texts to and from trees of maps, lists, strings, numbers and Booleans. */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() { }

    /** Returns the single value of the text; throws IOException if the text is not JSON or has more than one value. */
    public static Object parse(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new IOException("empty text in place of JSON");
            }
            Object tree = readValue(parser);
            if (parser.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return tree;
        }
    }

    /** Returns the tree as UTF-8 text; throws IllegalArgumentException if it has values of other types. */
    public static byte[] serialize(Object tree) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(generator, tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> object) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> field : object.entrySet()) {
                generator.writeFieldName((String) field.getKey());
                write(generator, field.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> array) {
            generator.writeStartArray();
            for (Object item : array) {
                write(generator, item);
            }
            generator.writeEndArray();
        } else if (value == null || value instanceof String || value instanceof Boolean || value instanceof Long
                || value instanceof Integer || value instanceof Double) {
            generator.writeObject(value);
        } else {
            throw new IllegalArgumentException("type not supported in JSON: " + value.getClass());
        }
    }

    /** Reads the value at the current token of the parser. */
    static Object readValue(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    object.put(name, readValue(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                List<Object> array = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(readValue(parser));
                }
                return array;
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getNumberValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            default -> {
                return null;
            }
        }
    }
}
