package dapplequay.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/** Writes replies: one line a batch, flushed at its end. */
final class WireWriter {
    private final OutputStream stream;
    private final JsonGenerator out;

    WireWriter(OutputStream stream) throws IOException {
        this.stream = stream;
        out = JsonFactory.builder().disable(StreamWriteFeature.FLUSH_PASSED_TO_STREAM).build()
                .createGenerator(stream);
        out.setRootValueSeparator(null);
    }

    void open(long turn) throws IOException {
        out.writeStartObject();
        out.writeNumberField("turn", turn);
        out.writeArrayFieldStart("output");
    }

    void close() throws IOException {
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
        stream.flush();
    }

    /** Starts an action; the caller adds its fields and ends it. */
    WireWriter action(String kind, String instance) {
        return guarded(() -> {
            out.writeStartObject();
            out.writeStringField("kind", kind);
            out.writeStringField("proxy_id", instance);
        });
    }

    WireWriter field(String name, long value) {
        return guarded(() -> out.writeNumberField(name, value));
    }

    WireWriter field(String name, String value) {
        return guarded(() -> out.writeStringField(name, value));
    }

    WireWriter field(String name, boolean value) {
        return guarded(() -> out.writeBooleanField(name, value));
    }

    void end() {
        guarded(out::writeEndObject);
    }

    private interface Writing {
        void run() throws IOException;
    }

    private WireWriter guarded(Writing writing) {
        try {
            writing.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
