package dapplequay.cli;

import dapplequay.http.Head;
import dapplequay.http.MessageReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends requests one after the other to a process and its successors, and checks the responses. */
final class RollClient implements Runnable {
    private static final long LATE_TOLERANCE_US = 50_000;
    /** A request sent longer than this before its connection ended did not cross with the close. */
    private static final long MAX_CROSSING_US = 100_000;
    private static final int READ_TIMEOUT_MS = 10_000;
    /** Length of the first piece of a split request, characters. */
    private static final int SPLIT_AT = 40;

    /** How a client uses its connection. */
    enum Habit {
        /** Sends the next request once it has the response. */
        BUSY,
        /** Begins the next request at the first byte of a response, before it knows whether that one is the last. */
        EAGER,
        /** Sends each request in two pieces. */
        SPLIT,
        /** Pauses between requests, and notices when the connection is closed. */
        IDLE,
        /** Pauses between requests, and notices a close only after sending. */
        BLIND
    }

    /** The process that a client sends to. */
    interface Target {
        int port();

        /** True if the process is meant to accept new connections. */
        boolean isOpen();

        /** Returns when SIGTERM was sent, us; 0 while the process serves. */
        long sigtermUs();
    }

    /** A run of a request at a host. */
    record Run(String service, int group, boolean again) { }

    /** What all clients and hosts observed, and the violations found in it. */
    static final class Ledger {
        private static final int SENDS = 3;

        final Queue<String> violations = new ConcurrentLinkedQueue<>();
        final Map<String, Integer> figures = new ConcurrentSkipListMap<>();
        private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();
        private final Queue<String> crossedIds = new ConcurrentLinkedQueue<>();
        private final AtomicInteger calls = new AtomicInteger();
        volatile boolean stopped;

        void count(String what) {
            figures.merge(what, 1, Integer::sum);
        }

        void recordMax(String what, long value) {
            figures.merge(what, (int) value, Math::max);
        }

        int figure(String what) {
            return figures.getOrDefault(what, 0);
        }

        void recordRun(String id, Run run) {
            runs.computeIfAbsent(id, any -> new ConcurrentLinkedQueue<>()).add(run);
        }

        /** Checks by the hosts' records that no crossed request had been read, and none ran too often. */
        void judgeRuns() {
            runs.forEach((id, runsOfId) -> {
                if (crossedIds.contains(id) && runsOfId.stream().anyMatch(run -> !run.again())) {
                    violations.add("lost though it was read: " + id + " " + runsOfId);
                }
                String service = runsOfId.peek().service();
                long groups = runsOfId.stream().map(Run::group).distinct().count();
                if (runsOfId.size() > (service.equals("book") ? 1 : SENDS) || service.equals("pay") && groups > 1) {
                    violations.add("run too often: " + id + " " + runsOfId);
                }
            });
        }
    }

    private record Call(String id, String service, long budgetMs) {
        static Call of(int number) {
            String id = Integer.toHexString(number);
            int kind = number % 10;
            return kind < 5 ? new Call(id, "quote", number % 50 == 0 ? 600 : 950)
                    : kind < 9 ? new Call(id, "pay", 1_900) : new Call(id, "book", 1_400);
        }

        String text(boolean again) {
            boolean get = service.equals("quote");
            return (get ? "GET /" : "POST /") + service + "/" + Long.parseLong(id, 16) + " HTTP/1.1\r\nX-Call-Id: " + id
                    + "\r\nX-Caller: shop-a\r\nX-Budget-Ms: " + budgetMs + (again ? "\r\nX-Again: 1" : "")
                    + (service.equals("pay") ? "\r\nIdempotency-Key: k" + id : "")
                    + (get ? "\r\n\r\n" : "\r\nContent-Length: " + id.length() + "\r\n\r\n" + id);
        }

        String start(boolean again) {
            return text(again).substring(0, SPLIT_AT);
        }

        String rest(boolean again) {
            return text(again).substring(SPLIT_AT);
        }
    }

    private final Target target;
    private final Habit habit;
    private final Ledger ledger;
    private final Random random;
    private Socket socket;
    private MessageReader reader;
    /** The request whose first piece is sent already, or null. */
    private Call startedCall;

    RollClient(Target target, Habit habit, Ledger ledger, long seed) {
        this.target = target;
        this.habit = habit;
        this.ledger = ledger;
        random = new Random(seed);
    }

    static long now() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void run() {
        try {
            while (!ledger.stopped) {
                if (socket == null && !(target.isOpen() && connect())) {
                    Thread.sleep(2 + random.nextInt(10));
                } else if (startedCall != null || pauseAndCheckOpen()) {
                    Call call = startedCall == null ? nextCall() : startedCall;
                    if (!exchange(call, false)) {
                        resendCrossed(call);
                    }
                }
            }
            disconnect();
        } catch (Exception e) {
            ledger.violations.add("client failed: " + e);
        }
    }

    private Call nextCall() {
        return Call.of(ledger.calls.incrementAndGet());
    }

    private void disconnect() throws IOException {
        if (socket != null) {
            socket.close();
        }
        socket = null;
        startedCall = null;
    }

    private boolean connect() throws IOException {
        disconnect();
        try {
            Socket next = new Socket(InetAddress.getLoopbackAddress(), target.port());
            next.setTcpNoDelay(true);
            next.setSoTimeout(READ_TIMEOUT_MS);
            reader = new MessageReader(next.getInputStream());
            socket = next;
            return true;
        } catch (IOException e) {
            if (target.isOpen()) {
                ledger.violations.add("connection refused: " + e);
            }
            return false;
        }
    }

    /** Pauses by habit; false if the connection was closed meanwhile, as is allowed between requests. */
    private boolean pauseAndCheckOpen() throws Exception {
        int kind = random.nextInt(6);           // some pauses are about as long as the idle time-out
        int pause = kind == 0 ? 2_080 + random.nextInt(40) : 10 + random.nextInt(kind < 3 ? 900 : 200);
        if (habit == Habit.BLIND) {
            Thread.sleep(pause);
        } else if (habit == Habit.IDLE) {
            socket.setSoTimeout(pause);
            try {
                if (reader.awaitData()) {
                    ledger.violations.add("duplicate: response without a request");
                }
                disconnect();
            } catch (SocketTimeoutException e) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
            } catch (IOException e) {
                disconnect();
            }
        }
        return socket != null;
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends the request and reads its response; false if the close of the connection may have crossed the request. */
    private boolean exchange(Call call, boolean again) throws Exception {
        boolean responseBegun = false;
        long sentUs = Long.MAX_VALUE;
        try {
            if (startedCall == null && habit == Habit.SPLIT) {
                write(call.start(again));
                Thread.sleep(random.nextInt(30));
                startedCall = call;
            }
            String text = startedCall == null ? call.text(again) : call.rest(again);
            startedCall = null;
            long startUs = now();
            long sigtermUs = target.sigtermUs();
            write(text);
            sentUs = now();
            responseBegun = reader.awaitData();
            if (responseBegun && habit == Habit.EAGER && !ledger.stopped) {
                sendStart(nextCall());
            }
            Head head = reader.readResponseHead();
            String body = new String(reader.readResponseBody(head), StandardCharsets.ISO_8859_1);
            judgeResponse(call, head, body, startUs);
            if (sigtermUs != 0 && !again && head.startLine[1].equals("200")) {
                ledger.count("sent after SIGTERM, 200");
                ledger.recordMax("sent after SIGTERM, 200, at most us after", startUs - sigtermUs);
            }
            return true;
        } catch (SocketTimeoutException e) {
            ledger.violations.add("unanswered: " + call);
        } catch (IOException e) {
            long unansweredUs = now() - sentUs;
            if (!responseBegun && unansweredUs <= MAX_CROSSING_US) {
                disconnect();
                return false;
            }
            ledger.violations.add("lost " + habit + (responseBegun ? ", partial response: " : ", no response: ") + call
                    + ": " + e
                    + ", unanswered for " + unansweredUs + " us, SIGTERM "
                    + (target.sigtermUs() == 0 ? "none" : now() - target.sigtermUs() + " us ago"));
        }
        disconnect();
        return true;
    }

    private void sendStart(Call call) {
        try {
            write(call.start(false));
            startedCall = call;
        } catch (IOException e) {
            startedCall = null;           // the previous response is still to be read
        }
    }

    private void judgeResponse(Call call, Head head, String body, long startUs) throws IOException {
        String status = head.startLine[1];
        long lateUs = now() - startUs - call.budgetMs() * 1000;
        ledger.count("answered " + status);
        ledger.recordMax("late at most, us", lateUs);
        if (lateUs > LATE_TOLERANCE_US) {
            ledger.violations.add("late by " + lateUs + " us: " + status + " to " + call);
        }
        if (status.equals("200") ? !body.equals(call.id()) : !status.matches("50[34]")) {
            ledger.violations.add("wrong response: " + status + " " + body + " to " + call);
        }
        if (head.closesConnection("HTTP/1.1")) {
            ledger.count("last answers");
            try {
                if (reader.awaitData()) {
                    ledger.violations.add("duplicate: more data after the last response, to " + call);
                }
            } catch (IOException e) {
                ledger.violations.add("lost to a slow reader: " + e + " after the last response, to " + call);
            }
            disconnect();
        } else if (reader.hasBufferedBytes()) {
            ledger.violations.add("duplicate: more data after the response to " + call);
        }
    }

    /** Resends a request that crossed with the close; the connection may be refused if the process is gone. */
    private void resendCrossed(Call call) throws Exception {
        ledger.count("crossed " + habit + (target.sigtermUs() == 0 ? "" : " after SIGTERM"));
        ledger.crossedIds.add(call.id());
        if (!connect()) {
            ledger.count("refused");
        } else if (exchange(call, true)) {
            ledger.count("crossed, answered the second time");
        } else if (target.isOpen()) {
            ledger.violations.add("lost, sent twice: " + call);
        } else {
            ledger.count("refused, process closed meanwhile");
        }
    }
}
