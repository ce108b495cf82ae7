package dapplequay.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class ReadBufferTest {

    private static ReadBuffer filled(int limit, int count) throws IOException {
        ReadBuffer buffer = new ReadBuffer(limit);
        ByteArrayInputStream in = new ByteArrayInputStream(new byte[count]);
        while (buffer.size() < count) {
            buffer.fill(in);
        }
        return buffer;
    }

    @Test
    void growsUpToItsLimitAndNoFurther() throws IOException {
        ReadBuffer buffer = filled(3_000, 3_000);
        assertThat(buffer.capacity()).isEqualTo(3_000);
        assertThatThrownBy(() -> buffer.fill(new ByteArrayInputStream(new byte[1])))
                .isInstanceOf(BadMessageException.class);
    }

    @Test
    void consumedBytesAreReusedBeforeTheBufferGrows() throws IOException {
        ReadBuffer buffer = filled(4_096, 1_024);
        buffer.take(1_000);
        assertThat(buffer.fill(new ByteArrayInputStream(new byte[500]))).isEqualTo(500);
        assertThat(buffer.capacity()).isEqualTo(1_024);
        assertThat(buffer.size()).isEqualTo(524);
    }

    @Test
    void emptyBufferShrinksAfterALongMessage() throws IOException {
        ReadBuffer buffer = filled(70_000, 70_000);
        buffer.take(69_999);
        assertThat(buffer.capacity()).isEqualTo(70_000);
        buffer.skip(1);
        assertThat(buffer.capacity()).isLessThan(9_000);
    }
}
