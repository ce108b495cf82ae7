package dapplequay.time;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** How much processor time this process has used, as the system's process table has it. */
public final class ProcessCpuTime {
    private static final Path STAT = Path.of("/proc/self/stat");
    /** The table counts in hundredths of a second on every Linux. */
    private static final long TICK_US = 10_000;
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;

    private ProcessCpuTime() { }

    /** Microseconds since the start, to 20 ms; 0 where there is no such table. */
    public static long usedUs() {
        try {
            String stat = Files.readString(STAT, StandardCharsets.ISO_8859_1);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * TICK_US;
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }
}
