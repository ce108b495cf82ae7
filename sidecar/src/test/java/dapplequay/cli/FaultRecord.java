package dapplequay.cli;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** What was observed of one scenario. Times are of {@link System#nanoTime}; 0 means that it did not happen. */
final class FaultRecord {
    final FaultScenario scenario;
    final List<AttemptRecord> attempts = new CopyOnWriteArrayList<>();
    volatile long firstByteNs;
    volatile long lastByteNs;
    volatile long closedNs;
    volatile Instant closedAt;
    volatile int status;
    volatile long answerBeganNs;
    volatile long answerEndedNs;
    volatile long answerBytes;
    volatile boolean isAnswerWhole;

    FaultRecord(FaultScenario scenario) {
        this.scenario = scenario;
    }

    /** An attempt as its server saw it. */
    static final class AttemptRecord {
        final long firstByteNs = System.nanoTime();
        volatile boolean hasRun;
        volatile long headNs;
        volatile long lastWriteNs;
        volatile boolean isAnswerWritten;
    }

    /** Returns times in milliseconds after the request's first byte, for a failure's description. */
    private String ms(long ns) {
        return ns == 0 ? "-" : String.valueOf((ns - firstByteNs) / 1_000_000);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(scenario.toString()).append(": written ").append(ms(lastByteNs))
                .append(", closed ").append(ms(closedNs)).append(", status ").append(status).append(" from ")
                .append(ms(answerBeganNs)).append(" to ").append(ms(answerEndedNs)).append(", ").append(answerBytes)
                .append(" bytes, whole ").append(isAnswerWhole);
        for (AttemptRecord attempt : attempts) {
            text.append("; attempt ").append(ms(attempt.firstByteNs)).append(", run ").append(attempt.hasRun)
                    .append(", head ").append(ms(attempt.headNs)).append(", last write ")
                    .append(ms(attempt.lastWriteNs)).append(attempt.isAnswerWritten ? ", whole" : "");
        }
        return text.toString();
    }
}
