package dapplequay.recovery;

/**
 * Which list an instance begins its life with, and whether older words of discovery's may undo it. Pure; times are Unix
 * time in microseconds.
 *
 * @param from  where the list comes from
 * @param binds true: a list of an older version is refused, as by an instance that runs; false: any is believed
 */
public record Beginning(From from, boolean binds) {
    public enum From { NOTHING, PLATFORM, KEPT }

    /** A list by its version, and when it was last heard. */
    public record Known(long revision, long heardUs) { }

    /**
     * {@code platform}: its version, or null where none was handed over; {@code kept}: what a life before kept, or
     * null; {@code boundUs}: for so long after it was heard the kept list's version counts.
     */
    public static Beginning choose(Long platform, Known kept, long nowUs, long boundUs) {
        if (kept == null || platform != null && platform > kept.revision()) {
            return new Beginning(platform == null ? From.NOTHING : From.PLATFORM, false);
        }
        // Of a clock that ran ahead its age can't be told, and so not whether the versions are of one count.
        long age = nowUs - kept.heardUs();
        return new Beginning(From.KEPT, age >= 0 && age <= boundUs);
    }
}
