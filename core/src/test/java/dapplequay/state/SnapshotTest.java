package dapplequay.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SnapshotTest {
    private static final Snapshot SNAPSHOT =
            new Snapshot(1_700_000_000_000_000L, "{\"rev\":4}".getBytes(StandardCharsets.UTF_8));

    @Test
    void decodesWhatItEncoded() {
        assertThat(Snapshot.decode(SNAPSHOT.encode())).isEqualTo(new Snapshot.DecodeResult(SNAPSHOT, null));
        Snapshot empty = new Snapshot(0, new byte[0]);
        assertThat(Snapshot.decode(empty.encode()).snapshot()).isEqualTo(empty);
    }

    @Test
    void detectsTruncationAtEveryByte() {
        byte[] whole = SNAPSHOT.encode();
        for (int length = 0; length < whole.length; length++) {
            Snapshot.DecodeResult result = Snapshot.decode(Arrays.copyOf(whole, length));
            assertThat(result.snapshot()).isNull();
            assertThat(result.fault()).startsWith("torn");
        }
        assertThat(Snapshot.decode(Arrays.copyOf(whole, whole.length + 1)).fault()).startsWith("torn");
    }

    @Test
    void detectsEverySingleBitFlip() {
        byte[] whole = SNAPSHOT.encode();
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] flipped = whole.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertThat(Snapshot.decode(flipped).snapshot()).as("bit " + bit).isNull();
        }
    }

    @Test
    void namesTheFaultOfForeignVersionsAndSizes() {
        byte[] foreign = SNAPSHOT.encode();
        foreign[7] = 9;
        assertThat(Snapshot.decode(foreign).fault()).isEqualTo("foreign version 9, this program knows 1");
        byte[] large = SNAPSHOT.encode();
        ByteBuffer.wrap(large).putInt(16, Integer.MAX_VALUE);
        assertThat(Snapshot.decode(large).fault()).startsWith("oversized");
        assertThat(Snapshot.decode("not one of ours, but long enough".getBytes()).fault()).isEqualTo("no snapshot");
        assertThatThrownBy(() -> new Snapshot(0, new byte[Snapshot.MAX_LIST_BYTES + 1]))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void keepsTheWriteIntervalAndWritesTheLatestListInTheEnd() {
        WriteScheduler scheduler = new WriteScheduler(1_000_000, 5_000_000);
        assertThat(scheduler.nextWriteUs()).isEqualTo(Long.MAX_VALUE);
        scheduler.listChanged();
        assertThat(scheduler.nextWriteUs()).as("the first write is due at once").isLessThanOrEqualTo(0);
        scheduler.writeStarted(0);
        assertThat(scheduler.nextWriteUs()).isEqualTo(Long.MAX_VALUE);
        scheduler.listChanged();
        scheduler.listChanged();
        assertThat(scheduler.nextWriteUs()).isEqualTo(1_000_000);
    }

    @Test
    void retriesAFailedWriteAndLogsOnceAMinute() {
        WriteScheduler scheduler = new WriteScheduler(1_000_000, 5_000_000);
        scheduler.listChanged();
        scheduler.writeStarted(0);
        assertThat(scheduler.writeFailed(0)).isTrue();
        assertThat(scheduler.nextWriteUs()).isEqualTo(5_000_000);
        scheduler.writeStarted(5_000_000);
        assertThat(scheduler.writeFailed(5_000_000)).isFalse();
        assertThat(scheduler.writeFailed(59_999_999)).isFalse();
        assertThat(scheduler.writeFailed(60_000_000)).isTrue();
    }
}
