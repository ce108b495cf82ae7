package dapplequay.state;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The last list of an instance in the form in which it is kept: a head of 28 bytes with the words {@code DQSNAP},
 * a version, when it was taken, and length and CRC32C of what follows, then the list in discovery's form. The
 * checksum covers the time, too. Pure: where the bytes lie is not its matter.
 *
 * @param takenUs Unix time in microseconds
 * @param list    the list in discovery's form, UTF-8; at most {@link #MAX_LIST_BYTES} bytes
 */
public record Snapshot(long takenUs, byte[] list) {
    public static final int VERSION = 1;
    /** A larger list is no list: ten thousand hosts take a fifth of it. */
    public static final int MAX_LIST_BYTES = 16 * 1024 * 1024;
    static final int HEADER_BYTES = 28;
    private static final byte[] MAGIC = {'D', 'Q', 'S', 'N', 'A', 'P'};

    /** What bytes turned out to be: a snapshot, or why they are none. One of the two is null. */
    public record DecodeResult(Snapshot snapshot, String fault) { }

    public Snapshot {
        if (list.length > MAX_LIST_BYTES) {
            throw new IllegalArgumentException("list of " + list.length + " bytes is too large to keep");
        }
    }

    public byte[] encode() {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + list.length);
        bytes.put(MAGIC).putShort((short) VERSION).putLong(takenUs).putInt(list.length).putLong(checksum(takenUs, list))
                .put(list);
        return bytes.array();
    }

    /** Reads what was kept. Whatever the bytes are, no exception comes of them. */
    public static DecodeResult decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            return invalid("torn: " + bytes.length + " bytes are fewer than a head");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte[] magic = new byte[MAGIC.length];
        in.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            return invalid("no snapshot");
        }
        int version = in.getShort() & 0xffff;
        if (version != VERSION) {
            return invalid("foreign version " + version + ", this program knows " + VERSION);
        }
        long takenUs = in.getLong();
        int length = in.getInt();
        long storedChecksum = in.getLong();
        if (length < 0 || length > MAX_LIST_BYTES) {
            return invalid("oversized: " + Integer.toUnsignedString(length) + " bytes");
        }
        if (in.remaining() != length) {
            return invalid("torn: " + in.remaining() + " bytes in place of " + length);
        }
        byte[] list = new byte[length];
        in.get(list);
        if (checksum(takenUs, list) != storedChecksum) {
            return invalid("corrupt: its checksum does not hold");
        }
        return new DecodeResult(new Snapshot(takenUs, list), null);
    }

    private static DecodeResult invalid(String fault) {
        return new DecodeResult(null, fault);
    }

    private static long checksum(long takenUs, byte[] list) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(takenUs).flip());
        crc.update(list, 0, list.length);
        return crc.getValue();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Snapshot that && takenUs == that.takenUs && Arrays.equals(list, that.list);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(takenUs) * 31 + Arrays.hashCode(list);
    }
}
