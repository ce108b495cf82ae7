package dapplequay.lab.model;

/**
 * The properties of one host. Times are in microseconds, work in microseconds of a core of speed 1.
 *
 * @param cores            number of cores, 1 or more
 * @param speed            speed of each core relative to a core of speed 1, over 0
 * @param slots            requests in work at the same time; they share the cores evenly
 * @param room             requests that can wait for a slot; further ones are refused
 * @param crowdFrom        requests held beyond which the host loses efficiency; 0: never
 * @param crowdLoss        capacity lost for each further {@code crowdFrom} requests: 1 / (1 + loss x share over)
 * @param coldFrom         share of the capacity at a cold start, over 0 up to 1
 * @param warmUpUs         time until a cold host has its full capacity; it rises linearly
 * @param connectionCap    limit of open connections
 * @param handshakeUs      work that a new connection costs
 * @param probeUs          work that a probe costs
 * @param reportEveryUs    how often the load report is refreshed
 * @param reportDelayUs    how long after its refresh a load report becomes visible
 * @param reportNoise      standard deviation of the reported figures, relative to them
 * @param errorShare       share of requests that fail, 0 to 1
 * @param errorTakesUs     time that a failing request takes on an idle core
 * @param stopsOnCancel    whether cancelling a request stops the work on it
 * @param tipMultiple      a cold host that is sent more than this multiple of its capacity crashes; 0: never
 * @param tipAfterUs       window over which {@code tipMultiple} is measured
 * @param choke            slowdown under sustained overload
 * @param keys             memory of recent keys
 */
public record HostSpec(int cores, double speed, int slots, int room, int crowdFrom, double crowdLoss,
                       double coldFrom, long warmUpUs, int connectionCap, long handshakeUs, long probeUs,
                       long reportEveryUs, long reportDelayUs, double reportNoise, double errorShare,
                       long errorTakesUs, boolean stopsOnCancel, double tipMultiple, long tipAfterUs,
                       Choke choke, Keys keys) {
    /**
     * Sustained overload slows a host down until it has had time to recover.
     *
     * @param at      requests beyond the number of cores, for each core, that count as overload; 0: never
     * @param afterUs how long the overload lasts before the slowdown begins
     * @param slower  factor by which everything slows down
     * @param below   requests held for each core up to which the host recovers
     * @param restUs  how long it recovers before the slowdown ends
     * @param mostUs  longest duration of the slowdown
     */
    public record Choke(double at, long afterUs, double slower, double below, long restUs, long mostUs) { }

    /**
     * A host's memory of recent keys, like a cache: requests for a remembered key cost less work.
     *
     * @param gain  share of the work that a remembered key saves; 0: none
     * @param forUs how long a key is remembered
     * @param most  number of keys remembered
     */
    public record Keys(double gain, long forUs, int most) { }

    public HostSpec {
        require(cores >= 1, "cores", cores);
        require(speed > 0, "speed", speed);
        require(slots >= 1, "slots", slots);
        require(room >= 0, "room", room);
        require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
        require(errorShare >= 0 && errorShare <= 1, "errorShare", errorShare);
        require(reportEveryUs > 0, "reportEveryUs", reportEveryUs);
    }

    private static void require(boolean valid, String name, double value) {
        if (!valid) {
            throw new IllegalArgumentException(name + " is out of range: " + value);
        }
    }

    /** Returns a host with one slot for each core and an unbounded queue, as in a textbook queueing model. */
    public static HostSpec queue(int cores) {
        return new Builder().cores(cores).slots(cores).room(Integer.MAX_VALUE).build();
    }

    /** Returns the work per microsecond of a warm host that is not crowded. */
    public double fullCapacity() {
        return cores * speed;
    }

    /** Builds a host; the default is one without faults, with one core of speed 1, four slots and room for 30. */
    public static final class Builder {
        private int cores = 1;
        private double speed = 1;
        private int slots = 4;
        private int room = 30;
        private int crowdFrom;
        private double crowdLoss;
        private double coldFrom = 0.31;
        private long warmUpUs = 8_800_000;
        private int connectionCap = 700;
        private long handshakeUs;
        private long probeUs = 400;
        private long reportEveryUs = 900_000;
        private long reportDelayUs;
        private double reportNoise;
        private double errorShare;
        private long errorTakesUs = 2_000;
        private boolean stopsOnCancel = true;
        private double tipMultiple;
        private long tipAfterUs = 3_000_000;
        private Choke choke = new Choke(0, 0, 1, 0, 0, 0);
        private Keys keys = new Keys(0, 0, 0);

        public Builder chokes(Choke value) {
            choke = value;
            return this;
        }

        public Builder remembers(Keys value) {
            keys = value;
            return this;
        }

        public Builder cores(int value) {
            cores = value;
            return this;
        }

        public Builder speed(double value) {
            speed = value;
            return this;
        }

        public Builder slots(int value) {
            slots = value;
            return this;
        }

        public Builder room(int value) {
            room = value;
            return this;
        }

        public Builder crowd(int from, double loss) {
            crowdFrom = from;
            crowdLoss = loss;
            return this;
        }

        public Builder cold(double from, long warmUp) {
            coldFrom = from;
            warmUpUs = warmUp;
            return this;
        }

        public Builder connections(int cap, long handshake) {
            connectionCap = cap;
            handshakeUs = handshake;
            return this;
        }

        public Builder probe(long work) {
            probeUs = work;
            return this;
        }

        public Builder reports(long every, long delay, double noise) {
            reportEveryUs = every;
            reportDelayUs = delay;
            reportNoise = noise;
            return this;
        }

        public Builder errors(double share, long takes) {
            errorShare = share;
            errorTakesUs = takes;
            return this;
        }

        public Builder stopsOnCancel(boolean value) {
            stopsOnCancel = value;
            return this;
        }

        public Builder tips(double multiple, long after) {
            tipMultiple = multiple;
            tipAfterUs = after;
            return this;
        }

        public HostSpec build() {
            return new HostSpec(cores, speed, slots, room, crowdFrom, crowdLoss, coldFrom, warmUpUs,
                    connectionCap, handshakeUs, probeUs, reportEveryUs, reportDelayUs, reportNoise, errorShare,
                    errorTakesUs, stopsOnCancel, tipMultiple, tipAfterUs, choke, keys);
        }
    }
}
