package dapplequay.membership;

/** Fixed numbers that lie evenly or at random, the same at every instance and at every start. */
public final class PseudoRandom {
    private PseudoRandom() { }

    /** From 0 up to 1: golden-ratio steps spread any run of numbers evenly, and each part of the run too. */
    public static double evenlySpread(int position) {
        return position * 0.6180339887498949 % 1;
    }

    /** Bits that show nothing of the order of what they were made of. */
    public static long mixBits(long x) {
        x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
        x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
        return x ^ (x >>> 31);
    }

    /** Exponentially, with mean 1: of many, each over its weight, one is the least as often as its weight says. */
    public static double exponential(long bits) {
        return -Math.log(((mixBits(bits) >>> 11) + 0.5) / (1L << 53));
    }
}
