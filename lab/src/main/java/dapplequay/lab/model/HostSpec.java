package dapplequay.lab.model;

/**
 * What one host is. Times are microseconds; work is counted in microseconds of a core of speed 1.
 *
 * @param cores            cores, 1 or more
 * @param speed            how much faster than a core of speed 1 each core is, over 0
 * @param slots            requests in work at once; they share the cores evenly
 * @param room             requests that wait for a slot; beyond that they are turned away unseen
 * @param crowdFrom        requests held from which on the host loses efficiency; 0: never
 * @param crowdLoss        capacity lost for each further {@code crowdFrom} requests: 1 / (1 + loss x share over)
 * @param coldFrom         share of the capacity at a cold start, over 0 up to 1
 * @param warmUpUs         time until a cold host has its full capacity; it rises evenly
 * @param connectionCap    open connections that it takes
 * @param handshakeUs      work of a new connection
 * @param probeUs          work of a probe
 * @param reportEveryUs    how often the load report is refreshed
 * @param reportDelayUs    how much later it shows
 * @param reportNoise      standard deviation of its figures, as a share of them
 * @param errorShare       share of the requests that fail
 * @param errorTakesUs     time that a failing request takes
 * @param stopsOnCancel    whether work stops when its request is given up
 * @param tipMultiple      a cold host that is sent more than this multiple of its capacity falls over; 0: never
 * @param tipAfterUs       if it is sent that much over this time
 * @param choke            what too much does to it
 * @param keys             what it remembers
 */
public record HostSpec(int cores, double speed, int slots, int room, int crowdFrom, double crowdLoss,
                       double coldFrom, long warmUpUs, int connectionCap, long handshakeUs, long probeUs,
                       long reportEveryUs, long reportDelayUs, double reportNoise, double errorShare,
                       long errorTakesUs, boolean stopsOnCancel, double tipMultiple, long tipAfterUs,
                       Choke choke, Keys keys) {
    /**
     * A host that held far more than it works on slows down, and stays so for long.
     *
     * @param at      requests waiting for each core beyond which it is too much; 0: never
     * @param afterUs once that has lasted for so long
     * @param slower  everything takes so many times as long
     * @param below   until it has held no more than this share of its cores
     * @param restUs  for so long,
     * @param mostUs  or so long has passed
     */
    public record Choke(double at, long afterUs, double slower, double below, long restUs, long mostUs) { }

    /**
     * What it remembers.
     *
     * @param gain  share of the work that is saved on a key met lately; 0: none
     * @param forUs how long it remembers one
     * @param most  keys that it remembers
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

    /** A host of so many cores with a slot for each and endless room: a queue as the books have it. */
    public static HostSpec queue(int cores) {
        return new Builder().cores(cores).slots(cores).room(Integer.MAX_VALUE).build();
    }

    /** Work per microsecond of a warm host that is not crowded. */
    public double fullCapacity() {
        return cores * speed;
    }

    /** Starts from a sound host with one core of speed 1, four slots and room for 30. */
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
