package dapplequay.state;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The last server list of an instance and its binary format: a header of 28 bytes, then the list in the JSON format of
 * discovery. The header has the magic bytes {@code DQSNAP}, the format version, the time of the snapshot, and the
 * length and CRC32C checksum of the list. The checksum covers the time, too. Files are read and written elsewhere.
 *
 * @param takenUs when the snapshot was taken, Unix time in microseconds
 * @param list    the list in the JSON format of discovery, UTF-8; at most {@link #MAX_LIST_BYTES} bytes
 */
public record Snapshot(long takenUs, byte[] list) {
    public static final int VERSION = 1;
    /** Larger lists are treated as corrupt: ten thousand servers need a fifth of this. */
    public static final int MAX_LIST_BYTES = 16 * 1024 * 1024;
    static final int HEADER_BYTES = 28;
    private static final byte[] MAGIC = {'D', 'Q', 'S', 'N', 'A', 'P'};

    /** A decoded snapshot, or the reason why the bytes are not valid; the other one is null. */
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

    /** Decodes a snapshot. Throws no exception for any input. */
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
