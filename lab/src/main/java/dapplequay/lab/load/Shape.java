package dapplequay.lab.load;

import dapplequay.lab.text.TomlFile;
import java.util.List;
import java.util.Locale;

/**
 * How the rate of arrivals goes over a run. {@code at} is the rate as a multiple of the base rate at a time, a
 * share of the run from 0 to 1.
 *
 * @param kind   which course
 * @param amount WAVE: depth, 0 to 1; CLIMB and SPIKE: the highest multiple
 * @param from   SPIKE: share of the run at which it begins
 * @param until  SPIKE: and ends
 * @param waves  WAVE: whole waves in the run
 */
public record Shape(Kind kind, double amount, double from, double until, double waves) {
    /** The courses. */
    public enum Kind {
        /** Evenly spaced, no chance in it. */
        STEADY,
        /** Independent arrivals at one rate. */
        POISSON,
        /** Independent arrivals, up and down like a sine. */
        WAVE,
        /** A Sunday evening: a slow climb over two thirds of the run, then a slower way down. */
        CLIMB,
        /** The eve of a bank holiday: ordinary, then many times as much at once, then ordinary. */
        SPIKE,
        /** From a file. */
        TRACE
    }

    static final List<String> WORDS = List.of("steady", "poisson", "wave", "climb", "spike", "trace");

    public static Shape plain(Kind kind) {
        return new Shape(kind, 1, 0, 1, 1);
    }

    static Shape read(TomlFile.Table load) {
        Kind kind = Kind.valueOf(load.oneOf("shape", "poisson", WORDS).toUpperCase(Locale.ROOT));
        double from = load.number("spike_from", 0.4, 0, 1);
        double until = load.number("spike_until", 0.6, 0, 1);
        if (until < from) {
            throw load.error("spike_until", "must not come before spike_from");
        }
        double amount = switch (kind) {
            case WAVE -> load.number("wave_depth", 0.5, 0, 1);
            case CLIMB -> load.number("climb_to", 2, 1, 100);
            case SPIKE -> load.number("spike_to", 4, 1, 100);
            default -> 1;
        };
        return new Shape(kind, amount, from, until, load.number("waves", 3, 0.1, 1000));
    }

    /** The rate at this share of the run, as a multiple of the base rate. */
    public double at(double share) {
        return switch (kind) {
            case WAVE -> 1 + amount * Math.sin(2 * Math.PI * waves * share);
            case CLIMB -> share < 2.0 / 3 ? 1 + (amount - 1) * share * 1.5
                    : amount - (amount - 1) * (share - 2.0 / 3) * 1.5;
            case SPIKE -> share >= from && share < until ? amount : 1;
            default -> 1;
        };
    }

    /** The highest multiple. */
    public double most() {
        return switch (kind) {
            case WAVE -> 1 + amount;
            case CLIMB, SPIKE -> amount;
            default -> 1;
        };
    }
}
