package dapplequay.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/** Writes replies in JSON: one line for each batch, flushed at its end. */
final class WireWriter {
    private final OutputStream stream;
    private final JsonGenerator json;

    WireWriter(OutputStream stream) throws IOException {
        this.stream = stream;
        json = JsonFactory.builder().disable(StreamWriteFeature.FLUSH_PASSED_TO_STREAM).build()
                .createGenerator(stream);
        json.setRootValueSeparator(null);
    }

    void beginReply(long turn) throws IOException {
        json.writeStartObject();
        json.writeNumberField("turn", turn);
        json.writeArrayFieldStart("output");
    }

    void endReply() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
        stream.flush();
    }

    /** Begins an action; the caller adds its fields and calls {@link #endAction}. */
    WireWriter beginAction(String kind, String instance) {
        return unchecked(() -> {
            json.writeStartObject();
            json.writeStringField("kind", kind);
            json.writeStringField("proxy_id", instance);
        });
    }

    WireWriter field(String name, long value) {
        return unchecked(() -> json.writeNumberField(name, value));
    }

    WireWriter field(String name, String value) {
        return unchecked(() -> json.writeStringField(name, value));
    }

    WireWriter field(String name, boolean value) {
        return unchecked(() -> json.writeBooleanField(name, value));
    }

    void endAction() {
        unchecked(json::writeEndObject);
    }

    private interface JsonWrite {
        void run() throws IOException;
    }

    private WireWriter unchecked(JsonWrite write) {
        try {
            write.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
