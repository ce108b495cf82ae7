package dapplequay.lab.load;

import dapplequay.lab.text.TomlFile;
import java.util.List;
import java.util.Locale;

/**
 * The arrival rate over a run, as a multiple of the base rate.
 *
 * @param kind   the course of the rate
 * @param amount WAVE: depth, 0 to 1; CLIMB and SPIKE: the highest multiple
 * @param from   SPIKE: where it begins, as a share of the run from 0 to 1
 * @param until  SPIKE: where it ends, as a share of the run from 0 to 1
 * @param waves  WAVE: number of periods in the run
 */
public record Shape(Kind kind, double amount, double from, double until, double waves) {
    public enum Kind {
        /** Evenly spaced arrivals. */
        STEADY,
        /** Poisson arrivals at a constant rate. */
        POISSON,
        /** Poisson arrivals whose rate follows a sine. */
        WAVE,
        /** The rate rises over two thirds of the run, then falls with the same slope, as on a Sunday evening. */
        CLIMB,
        /** A sudden multiple of the base rate between two ordinary phases, as on the eve of a bank holiday. */
        SPIKE,
        /** Arrivals read from a trace file. */
        TRACE
    }

    static final List<String> KIND_NAMES = List.of("steady", "poisson", "wave", "climb", "spike", "trace");

    public static Shape plain(Kind kind) {
        return new Shape(kind, 1, 0, 1, 1);
    }

    static Shape read(TomlFile.Table load) {
        Kind kind = Kind.valueOf(load.oneOf("shape", "poisson", KIND_NAMES).toUpperCase(Locale.ROOT));
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

    /** Returns the multiple of the base rate at this share of the run, 0 to 1. */
    public double multipleAt(double share) {
        return switch (kind) {
            case WAVE -> 1 + amount * Math.sin(2 * Math.PI * waves * share);
            case CLIMB -> share < 2.0 / 3 ? 1 + (amount - 1) * share * 1.5
                    : amount - (amount - 1) * (share - 2.0 / 3) * 1.5;
            case SPIKE -> share >= from && share < until ? amount : 1;
            default -> 1;
        };
    }

    /** Returns the highest multiple of the base rate during the run. */
    public double maxMultiple() {
        return switch (kind) {
            case WAVE -> 1 + amount;
            case CLIMB, SPIKE -> amount;
            default -> 1;
        };
    }
}
