package dapplequay.cli;

import java.util.Random;

/**
 * What one client and the servers that its request reaches do. Sizes are in bytes, times in milliseconds.
 *
 * @param number         the scenario's number within its play
 * @param behindBytes    what the client writes behind its request
 * @param stayMs         how long the client stays after its last byte, if it leaves
 * @param againMs        how long after its departure the same id comes again on another connection; -1 for never
 * @param attemptDelayMs how long the first attempt waits for its end, if the server does not serve it
 */
record FaultScenario(int number, Framing requestFraming, int requestBytes, Pace requestPace, int budgetMs,
                     int behindBytes, Departure departure, int stayMs, int againMs, Reading reading,
                     FirstAttempt firstAttempt, int attemptDelayMs, Answer answer, Framing answerFraming,
                     int answerBytes, int headDelayMs) {
    private static final int[] REQUEST_BYTES = {0, 200, 6_000, 60_000, 70_000, 300_000, 3_000_000, 14_000_000};
    private static final int[] BEHIND_BYTES = {0, 0, 0, 100_000, 1_500_000, 4_000_000, 9_000_000};
    private static final int[] LONG_ANSWER_BYTES = {70_000, 120_000, 220_000};
    private static final int BIG_ANSWER_BYTES = 2_000_000;
    /** The share of scenarios in which client and server both do their part, so that servers stay in use. */
    private static final double ORDERLY_SHARE = 0.4;
    /** Requests up to this size are also written slowly. */
    private static final int MAX_SLOW_BYTES = 300_000;

    enum Framing { LENGTH, CHUNKED, CLOSE }

    enum Pace { AT_ONCE, STEADY, LUMPS }

    enum Departure { STAYS, AFTER_ITS_REQUEST, WITHIN_ITS_REQUEST }

    enum Reading { FAST, SLOW }

    /** How the first attempt for a request ends; further ones are served. */
    enum FirstAttempt { SERVED, TURNED_AWAY, CLOSED_UNREAD }

    enum Answer { SHORT, STEADY, LUMPS, BIG, TRICKLE, NOISE_BEHIND, BOTH_LENGTHS, HALF }

    private static final Answer[] ORDERLY_ANSWERS = {Answer.SHORT, Answer.STEADY, Answer.LUMPS, Answer.BIG};

    static FaultScenario random(int number, Random random) {
        boolean isOrderly = random.nextDouble() < ORDERLY_SHARE;
        int requestBytes = pick(random, REQUEST_BYTES);
        Departure departure = isOrderly ? Departure.STAYS : pick(random, Departure.values());
        boolean leavesAtTheEnd = departure == Departure.AFTER_ITS_REQUEST;
        Answer answer = isOrderly ? pick(random, ORDERLY_ANSWERS) : pick(random, Answer.values());
        int answerBytes = switch (answer) {
            case SHORT, BOTH_LENGTHS, HALF -> 100 + random.nextInt(9_000);
            case BIG -> BIG_ANSWER_BYTES;
            case TRICKLE -> 0;
            default -> pick(random, LONG_ANSWER_BYTES);
        };
        return new FaultScenario(number, random.nextBoolean() ? Framing.LENGTH : Framing.CHUNKED, requestBytes,
                requestBytes > MAX_SLOW_BYTES ? Pace.AT_ONCE : pick(random, Pace.values()),
                500 + random.nextInt(500), leavesAtTheEnd ? pick(random, BEHIND_BYTES) : 0, departure,
                random.nextInt(120), leavesAtTheEnd && random.nextBoolean() ? random.nextInt(3_000) : -1,
                pick(random, Reading.values()), isOrderly ? FirstAttempt.SERVED : pick(random, FirstAttempt.values()),
                random.nextInt(350), answer,
                pick(random, Framing.values()), answerBytes, random.nextInt(300));
    }

    /** A request without a body from a client that stays, and a short answer at once. */
    static FaultScenario orderly(int number) {
        return new FaultScenario(number, Framing.LENGTH, 0, Pace.AT_ONCE, 800, 0, Departure.STAYS, 0, -1, Reading.FAST,
                FirstAttempt.SERVED, 0, Answer.SHORT, Framing.LENGTH, 100, 0);
    }

    /** Returns a copy whose client writes this behind its request and leaves; its first attempt is turned away. */
    FaultScenario leaving(int newBehindBytes, int newStayMs, int newAttemptDelayMs) {
        return new FaultScenario(number, requestFraming, requestBytes, requestPace, budgetMs, newBehindBytes,
                Departure.AFTER_ITS_REQUEST, newStayMs, againMs, reading, FirstAttempt.TURNED_AWAY, newAttemptDelayMs,
                answer, answerFraming, answerBytes, headDelayMs);
    }

    FaultScenario withPace(Pace pace) {
        return new FaultScenario(number, requestFraming, requestBytes, pace, budgetMs, behindBytes, departure, stayMs,
                againMs, reading, firstAttempt, attemptDelayMs, answer, answerFraming, answerBytes, headDelayMs);
    }

    FaultScenario withRequest(Framing framing, int bytes) {
        return new FaultScenario(number, framing, bytes, requestPace, budgetMs, behindBytes, departure, stayMs, againMs,
                reading, firstAttempt, attemptDelayMs, answer, answerFraming, answerBytes, headDelayMs);
    }

    /** Returns a copy with an answer that begins {@code newHeadDelayMs} after the request. */
    FaultScenario withAnswer(Answer newAnswer, Framing framing, int bytes, int newHeadDelayMs) {
        return new FaultScenario(number, requestFraming, requestBytes, requestPace, budgetMs, behindBytes, departure,
                stayMs, againMs, reading, firstAttempt, attemptDelayMs, newAnswer, framing, bytes, newHeadDelayMs);
    }

    FaultScenario withBudget(int newBudgetMs) {
        return new FaultScenario(number, requestFraming, requestBytes, requestPace, newBudgetMs, behindBytes, departure,
                stayMs, againMs, reading, firstAttempt, attemptDelayMs, answer, answerFraming, answerBytes,
                headDelayMs);
    }

    private static int pick(Random random, int[] values) {
        return values[random.nextInt(values.length)];
    }

    private static <T> T pick(Random random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}
