package dapplequay.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SnapshotTest {
    private static final Snapshot SOME =
            new Snapshot(1_700_000_000_000_000L, "{\"rev\":4}".getBytes(StandardCharsets.UTF_8));

    @Test
    void whatIsKeptIsReadAgain() {
        assertThat(Snapshot.decode(SOME.encode())).isEqualTo(new Snapshot.Read(SOME, null));
        Snapshot empty = new Snapshot(0, new byte[0]);
        assertThat(Snapshot.decode(empty.encode()).snapshot()).isEqualTo(empty);
    }

    @Test
    void atWhateverByteItIsTornItIsKnownAsTorn() {
        byte[] whole = SOME.encode();
        for (int length = 0; length < whole.length; length++) {
            Snapshot.Read read = Snapshot.decode(Arrays.copyOf(whole, length));
            assertThat(read.snapshot()).isNull();
            assertThat(read.fault()).startsWith("torn");
        }
        assertThat(Snapshot.decode(Arrays.copyOf(whole, whole.length + 1)).fault()).startsWith("torn");
    }

    @Test
    void noSingleBitCanTurn() {
        byte[] whole = SOME.encode();
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] turned = whole.clone();
            turned[bit / 8] ^= (byte) (1 << bit % 8);
            assertThat(Snapshot.decode(turned).snapshot()).as("bit " + bit).isNull();
        }
    }

    @Test
    void foreignVersionsAndSizesAreNamed() {
        byte[] foreign = SOME.encode();
        foreign[7] = 9;
        assertThat(Snapshot.decode(foreign).fault()).isEqualTo("foreign version 9, this program knows 1");
        byte[] large = SOME.encode();
        ByteBuffer.wrap(large).putInt(16, Integer.MAX_VALUE);
        assertThat(Snapshot.decode(large).fault()).startsWith("oversized");
        assertThat(Snapshot.decode("not one of ours, but long enough".getBytes()).fault()).isEqualTo("no snapshot");
        assertThatThrownBy(() -> new Snapshot(0, new byte[Snapshot.MOST_BYTES + 1]))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void writesKeepTheirPaceAndTheLatestIsWrittenInTheEnd() {
        WritePace pace = new WritePace(1_000_000, 5_000_000);
        assertThat(pace.dueUs()).isEqualTo(Long.MAX_VALUE);
        pace.changed();
        assertThat(pace.dueUs()).as("the first at once").isLessThanOrEqualTo(0);
        pace.begun(0);
        assertThat(pace.dueUs()).isEqualTo(Long.MAX_VALUE);
        pace.changed();
        pace.changed();
        assertThat(pace.dueUs()).isEqualTo(1_000_000);
    }

    @Test
    void aFailureIsTriedAgainAndToldOnceAMinute() {
        WritePace pace = new WritePace(1_000_000, 5_000_000);
        pace.changed();
        pace.begun(0);
        assertThat(pace.failed(0)).isTrue();
        assertThat(pace.dueUs()).isEqualTo(5_000_000);
        pace.begun(5_000_000);
        assertThat(pace.failed(5_000_000)).isFalse();
        assertThat(pace.failed(59_999_999)).isFalse();
        assertThat(pace.failed(60_000_000)).isTrue();
    }
}
