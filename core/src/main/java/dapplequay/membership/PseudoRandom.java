package dapplequay.membership;

/** Deterministic numbers, spread evenly or randomly, that are the same at every instance and after every start. */
public final class PseudoRandom {
    private PseudoRandom() { }

    /**
     * Returns a number from 0 (inclusive) to 1 (exclusive). Steps of the golden ratio spread the numbers of any run of
     * consecutive positions evenly.
     */
    public static double evenlySpread(int position) {
        return position * 0.6180339887498949 % 1;
    }

    /** Returns a hash of the bits (the finalizer of SplitMix64), which shows nothing of the order of its inputs. */
    public static long mixBits(long x) {
        x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
        x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
        return x ^ (x >>> 31);
    }

    /**
     * Returns an exponentially distributed number with mean 1. If the number of each of several servers is divided by
     * the server's weight, each server has the least one with a probability in proportion to its weight.
     */
    public static double exponential(long bits) {
        return -Math.log(((mixBits(bits) >>> 11) + 0.5) / (1L << 53));
    }
}
