package dapplequay;

import java.util.List;

/**
 * The whole interface of the decision module {@link Balance}: its values, the events that come in as method calls, and
 * the actions that go out. All times are microseconds; {@code now} is the time of the event on any monotonic clock.
 */
public interface BalancerApi {

    /**
     * Whether a request may run twice. RETRYABLE: always, repeats do no harm. DEDUP: servers discard repeats that reach
     * them within a time window. FRAGILE: never.
     */
    enum Semantics { RETRYABLE, DEDUP, FRAGILE }

    /** Which servers share the memory that discards repeats of a {@link Semantics#DEDUP} request. */
    enum Group { ALL, ZONE, CELL }

    enum HostState { READY, DRAINING, REMOVED }

    /**
     * What a fleet update holds. DELTA: only the entries that changed. FULL: the whole list. RESTORED: the whole list
     * as it was saved before a restart. FAILED: no list, as a call to discovery failed; the module ignores it.
     */
    enum ListKind { DELTA, FULL, RESTORED, FAILED }

    /** The result of one attempt. */
    enum Outcome {
        OK(false), ERROR(false), REFUSED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        /** True if the outcome proves that no server ran the attempt. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * One class of requests. {@code aimUs} is the target latency, extended by {@code aimStretch} times the cost hint of
     * a request; {@code lateWorth} is the share of its worth that an answer after the target still has. {@code
     * importance} is the worth of one request. {@code windowUs} is how long servers of {@code group} remember a request
     * to discard its repeats.
     */
    record ServiceClass(String name, long aimUs, double aimStretch, long deadlineUs, double lateWorth,
                        double importance, Semantics semantics, Group group, long windowUs,
                        boolean streamed) { }

    record Tenant(String name, double share, double quotaPerS) { }

    /**
     * How the server list is obtained. With {@code onRequest}, each instance asks a shared service, and has to do so at
     * least every {@code askWithinUs}: after that it counts as informed of every change. Otherwise lists are pushed to
     * an agent beside the instance, and the instance counts as informed of whatever the agent has. Sends to a server
     * that drains or is removed must end {@code drainGraceUs} after the instance counts as informed.
     */
    record Discovery(boolean onRequest, long askWithinUs, long drainGraceUs) { }

    /**
     * What the site permits. {@code sendCap}: most attempts for a request. {@code secondCopies}: a second attempt may
     * go out while the first is in flight.
     */
    record Limits(int sendCap, boolean mayCancel, boolean secondCopies, boolean probing, boolean retryAfter,
                  long maxRetryAfterUs) { }

    /**
     * How a server warms up. {@code from} is the share of its capacity that it has at its start; it has all of it after
     * {@code warmUpUs}. It fails if it holds more than {@code tipMultiple} times what it can serve at present for
     * {@code tipAfterUs}.
     */
    record ColdStart(double from, long warmUpUs, double tipMultiple, long tipAfterUs) { }

    /**
     * What is deducted from the result: for a request that crosses zones, for server work that served no client, for a
     * late failure, for a probe and for a handshake.
     */
    record Prices(double crossZone, double waste, double lateFail, double probe, double handshake) { }

    /**
     * The settings of one instance. {@code position} is its number among {@code balancers} instances. Elsewhere in this
     * interface, zones, service classes and tenants are given by their index in these lists.
     */
    record Settings(int position, int balancers, int zone, List<String> zones, List<ServiceClass> classes,
                    List<Tenant> tenants, double overShareWorth, Discovery discovery, Limits limits,
                    ColdStart coldStart, Prices prices, boolean warmKeys) {
        public Settings {
            zones = List.copyOf(zones);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /**
         * Checks that the settings are legal. Zones can't change while the process runs, as what is known of servers is
         * kept by zone index.
         *
         * @param before the settings in use; null if there are none
         * @throws IllegalArgumentException naming the setting that is illegal
         */
        public void check(Settings before) {
            check(balancers >= 1, "balancers");
            check(position >= 0, "position");
            check(zone >= 0 && zone < zones.size(), "zone");
            check(before == null || zones.equals(before.zones) && zone == before.zone, "zones");
            check(!classes.isEmpty(), "classes");
            check(limits.sendCap() >= 1, "sendCap");
            check(coldStart.from() >= 0 && coldStart.warmUpUs() >= 0, "coldStart");
            for (ServiceClass serviceClass : classes) {
                check(serviceClass.aimUs() > 0, "aimUs of " + serviceClass.name());
                check(serviceClass.deadlineUs() > 0, "deadlineUs of " + serviceClass.name());
            }
        }

        private static void check(boolean isLegal, String setting) {
            if (!isLegal) {
                throw new IllegalArgumentException("illegal setting: " + setting);
            }
        }
    }

    /** Progress of a request body that is forwarded while it is still arriving, because it exceeds the buffer. */
    enum BodyStage {
        /** An attempt was sent; it can't run before the body is complete. */
        ARRIVING,
        /** More was forwarded than is buffered: there can be no further attempt. */
        BUFFER_EXCEEDED,
        /** The last byte was written; the time of the request and of the attempt begins now. */
        COMPLETE
    }

    /** One entry of the server list. {@code startedUs} is when the server started; 0: long ago. */
    record FleetEntry(String host, int zone, int cell, HostState state, double weight, long startedUs) { }

    /** A server's load as it last reported it: requests waiting and requests in its hands; NaN: not reported. */
    record LoadReport(double queue, double inFlight) { }

    /**
     * A client's request. {@code tenant} is -1 if there is none, {@code key} may be null, {@code leftUs} is the time
     * left of its deadline, {@code costHintUs} is 0 if there is no hint.
     */
    record Request(long id, int serviceClass, int tenant, String key, long leftUs, long costHintUs,
                   boolean clientRetry) { }

    // ---- events in ----

    /**
     * Replaces the settings.
     *
     * @throws IllegalArgumentException if a setting is illegal; then nothing has changed
     */
    void reconfigure(long now, Settings next);

    void fleet(long now, ListKind kind, List<FleetEntry> entries);

    void request(long now, Request request);

    /**
     * The last attempt of the request is no longer delayed by this process: from now on it is being connected or
     * written. Comes after the decision and before the outcome of the attempt, or not at all.
     */
    void attemptStarted(long now, long id);

    /** The answer of a streamed class has begun: from now on the attempt belongs to the client. */
    void streamStarted(long now, long id, int attempt);

    /**
     * An attempt has ended.
     *
     * @param closed true if the request has its final answer
     * @param report may be null
     */
    void outcome(long now, long id, int attempt, String host, Outcome outcome, long tookUs, boolean closed,
                 LoadReport report);

    /** The body of a long request has progressed. Never called for requests that were complete on arrival. */
    void bodyProgress(long now, long id, BodyStage stage);

    /** The client has left; the request needs no answer. */
    void clientLeft(long now, long id);

    void timerFired(long now, long token);

    /** Returns how many listed servers get no ordinary traffic: they drain or failed, or their zone is lost. */
    int outOfRotationCount();

    void probeCompleted(long now, String host, Outcome outcome, long tookUs, LoadReport report);

    // ---- actions out ----

    /** Carried out by the embedding program, in the order of the calls, at the time of the event being handled. */
    interface Actions {
        /**
         * Sends an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of these calls.
         *
         * @param beginBy the attempt's first byte must go out before this time, as servers discard repeats only within
         *     a window; otherwise its outcome is NOT_SENT. Long.MAX_VALUE: no limit
         */
        void send(long id, String host, long timeoutUs, long beginBy);

        void cancel(long id, int attempt);

        /** Final answer: the client may safely try again, after {@code pauseUs}; 0: no advice on when. */
        void refuse(long id, long pauseUs);

        /** Final answer: the request may or may not have run. */
        void fail(long id);

        void setTimer(long afterUs, long token);

        /** Subscribes to changes of the list, or unsubscribes; a change or FAILED is the answer. */
        void watchFleet(boolean on);

        /** Asks for the whole list once. */
        void fetchFleet();

        void probe(String host);

        /** Closes the idle connections to a host. */
        void closeIdle(String host);

        /** Sends bytes to the balancer at a position, or to all with -1. Unused, as balancers share nothing. */
        void sendToPeer(int position, byte[] note);

        void log(String line);
    }
}
