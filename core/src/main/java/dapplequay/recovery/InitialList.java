package dapplequay.recovery;

/**
 * Which list an instance begins its life with, and whether older words of discovery's may undo it. Pure; times are Unix
 * time in microseconds.
 *
 * @param source  where the list comes from
 * @param enforcesVersion true: a list of an older version is refused, as by an instance that runs; false: any is believed
 */
public record InitialList(Source source, boolean enforcesVersion) {
    public enum Source { NOTHING, PLATFORM, KEPT }

    /** A list by its version, and when it was last heard. */
    public record KeptList(long revision, long heardUs) { }

    /**
     * {@code platformRevision}: its version, or null where none was handed over; {@code kept}: what a life before kept, or
     * null; {@code maxAgeUs}: for so long after it was heard the kept list's version counts.
     */
    public static InitialList choose(Long platformRevision, KeptList kept, long nowUs, long maxAgeUs) {
        if (kept == null || platformRevision != null && platformRevision > kept.revision()) {
            return new InitialList(platformRevision == null ? Source.NOTHING : Source.PLATFORM, false);
        }
        // Of a clock that ran ahead its age can't be told, and so not whether the versions are of one count.
        long ageUs = nowUs - kept.heardUs();
        return new InitialList(Source.KEPT, ageUs >= 0 && ageUs <= maxAgeUs);
    }
}
