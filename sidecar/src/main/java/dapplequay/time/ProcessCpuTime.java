package dapplequay.time;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The CPU time that this process has used, read from Linux's procfs. */
public final class ProcessCpuTime {
    private static final Path STAT = Path.of("/proc/self/stat");
    /** Linux reports these times in hundredths of a second on all platforms. */
    private static final long TICK_US = 10_000;
    // Positions of utime and stime among the fields after the command name, which ends with the last parenthesis.
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;

    private ProcessCpuTime() { }

    /** Returns the CPU time since the process started, in microseconds, accurate to 20 ms; 0 if it is not available. */
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
