package dapplequay.recovery;

/**
 * The choice of the server list that an instance starts with. Times are Unix time in microseconds.
 *
 * @param source          the origin of the list
 * @param enforcesVersion true if a list of a lower version is doubted, as by a running instance; false if discovery is
 *                        believed whatever the version of its list
 */
public record InitialList(Source source, boolean enforcesVersion) {
    /** No list, the list in the configuration file of the platform, or the snapshot that was kept on disk. */
    public enum Source { NOTHING, PLATFORM, KEPT }

    /** A kept list: its version, and when it was last received. */
    public record KeptList(long revision, long heardUs) { }

    /**
     * Chooses the list of the higher version; of equal versions, the kept one.
     *
     * @param platformRevision the version of the list in the configuration file, or null if it has none
     * @param kept             the list that an earlier process kept, or null
     * @param maxAgeUs         how long the version of a kept list is enforced
     */
    public static InitialList choose(Long platformRevision, KeptList kept, long nowUs, long maxAgeUs) {
        if (kept == null || platformRevision != null && platformRevision > kept.revision()) {
            return new InitialList(platformRevision == null ? Source.NOTHING : Source.PLATFORM, false);
        }
        // A negative age means that the clock was wrong. The age is unknown then, and with it whether discovery still
        // continues the same sequence of versions.
        long ageUs = nowUs - kept.heardUs();
        return new InitialList(Source.KEPT, ageUs >= 0 && ageUs <= maxAgeUs);
    }
}
