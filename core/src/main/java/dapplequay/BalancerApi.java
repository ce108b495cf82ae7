package dapplequay;

import java.util.List;

/**
 * The whole interface of the decision module {@link Balance}: its values, the events that go in as method
 * calls and the actions that come out. All times are microseconds; {@code now} is any clock that never runs
 * backwards.
 */
public interface BalancerApi {

    /** What repeating a request may do. */
    enum Semantics { RETRYABLE, DEDUP, FRAGILE }

    /** Which servers discard the repeats of a {@link Semantics#DEDUP} request. */
    enum Group { ALL, ZONE, CELL }

    enum HostState { READY, DRAINING, REMOVED }

    /**
     * DELTA: changed entries only. FULL: the whole list. RESTORED: as last held before a restart. FAILED: none;
     * for whoever asks for the list, and nothing to the module.
     */
    enum ListKind { DELTA, FULL, RESTORED, FAILED }

    /** The result of one attempt. */
    enum Outcome {
        OK(false), ERROR(false), REFUSED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        /** True if the outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** One class of request. {@code importance} is the worth of a request of it. */
    record ServiceClass(String name, long aimUs, double aimStretch, long deadlineUs, double lateWorth,
                        double importance, Semantics semantics, Group group, long windowUs,
                        boolean streamed) { }

    record Tenant(String name, double share, double quotaPerS) { }

    /**
     * When the list has to be asked for, an instance that neither watches nor asks for so long counts as
     * told. Where it is pushed, an agent beside the instance holds it, and whatever the agent has counts as told;
     * sends to what drains or is gone end {@code drainGraceUs} after being told.
     */
    record Discovery(boolean onRequest, long askWithinUs, long drainGraceUs) { }

    record Limits(int sendCap, boolean mayCancel, boolean secondCopies, boolean probing, boolean retryAfter,
                  long maxRetryAfterUs) { }

    record ColdStart(double from, long warmUpUs, double tipMultiple, long tipAfterUs) { }

    /**
     * Points taken off the result: a zone crossed by each request, host work that served nothing, and so on.
     */
    record Prices(double crossZone, double waste, double lateFail, double probe, double handshake) { }

    /**
     * What one instance is set to, until it is retuned. Zones, classes and tenants are named below by their index.
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
         * IllegalArgumentException, naming the setting, where one makes no sense, or where the zones are others than
         * in {@code before} (null: there are none before): what is known of servers is kept by zone.
         */
        public void check(Settings before) {
            check(balancers >= 1, "balancers");
            check(position >= 0, "position");
            check(zone >= 0 && zone < zones.size(), "zone");
            check(before == null || zones.equals(before.zones) && zone == before.zone, "zones");
            check(!classes.isEmpty(), "classes");
            check(limits.sendCap() >= 1, "sendCap");
            check(coldStart.from() >= 0 && coldStart.warmUpUs() >= 0, "coldStart");
            for (ServiceClass c : classes) {
                check(c.aimUs() > 0, "aimUs of " + c.name());
                check(c.deadlineUs() > 0, "deadlineUs of " + c.name());
            }
        }

        private static void check(boolean good, String setting) {
            if (!good) {
                throw new IllegalArgumentException("illegal setting: " + setting);
            }
        }
    }

    /** How far the body of a request has come that is passed on while it comes, after its first part was held. */
    enum BodyStage {
        /** An attempt has been sent; it can't run before the body is whole. */
        ARRIVING,
        /** More has been passed on than is held: there can be no further attempt. */
        BUFFER_EXCEEDED,
        /** The last byte was written; the request's time, and the attempt's, begin now. */
        COMPLETE
    }

    /** One line of the server list; {@code startedUs} 0: long ago. */
    record FleetEntry(String host, int zone, int cell, HostState state, double weight, long startedUs) { }

    /** A server's load as it last told it; NaN: not told. */
    record LoadReport(double queue, double inFlight) { }

    /** A client's request. {@code tenant} -1: none. {@code key} may be null. {@code costHintUs} 0: none. */
    record Request(long id, int serviceClass, int tenant, String key, long leftUs, long costHintUs,
                   boolean clientRetry) { }

    // ---- events in ----

    /** Other settings from now on; IllegalArgumentException, and no change, where one makes no sense. */
    void reconfigure(long now, Settings next);

    void fleet(long now, ListKind kind, List<FleetEntry> entries);

    void request(long now, Request request);

    /**
     * The request's last attempt is held back on this side no longer: it is connected for, or written, from now on.
     * Comes after the decision and before the attempt's outcome, or not at all.
     */
    void attemptStarted(long now, long id);

    /** The answer of a streamed class has begun: this attempt is the client's from here on. */
    void streamStarted(long now, long id, int attempt);

    /** {@code closed}: the request has its final answer. {@code report} may be null. */
    void outcome(long now, long id, int attempt, String host, Outcome outcome, long tookUs, boolean closed,
                 LoadReport report);

    /** A long request's body: how far it has come. Never told of requests that were held whole when they came. */
    void bodyProgress(long now, long id, BodyStage stage);

    /** The client has left; nothing more is owed. */
    void clientLeft(long now, long id);

    void timerFired(long now, long token);

    /** How many listed servers get no ordinary traffic at present: they drain, failed, or their zone is lost. */
    int outOfRotationCount();

    void probeCompleted(long now, String host, Outcome outcome, long tookUs, LoadReport report);

    // ---- actions out ----

    /** Carried out by the embedding program, in the order called, at the time of the event in hand. */
    interface Actions {
        /**
         * The attempts of a request are numbered 0, 1, 2 ... in the order of these calls. {@code beginBy}: its first
         * byte may not go out at this time or later, as the window for repeats would be over; it is then NOT_SENT.
         * Long.MAX_VALUE: at any time.
         */
        void send(long id, String host, long timeoutUs, long beginBy);

        void cancel(long id, int attempt);

        /** Final answer: a new try is harmless; {@code pauseUs} 0: no advice. */
        void refuse(long id, long pauseUs);

        /** Final answer: no promise about effects. */
        void fail(long id);

        void setTimer(long afterUs, long token);

        /** Subscribe to the list's changes, or end that; FAILED or a change answers. */
        void watchFleet(boolean on);

        /** Ask for the whole list once. */
        void fetchFleet();

        void probe(String host);

        /** Close the idle connections to a host. */
        void closeIdle(String host);

        /** Bytes to one balancer by position, or to all with -1. Not used: balancers share nothing. */
        void sendToPeer(int position, byte[] note);

        void log(String line);
    }
}
