package dapplequay.fairness;

import dapplequay.BalancerApi.Tenant;
import java.util.List;

/**
 * What a request of a tenant is worth, as part of its class's worth. Usage across all instances is unknown, but a burst
 * shows in the mix at each: the tenant is deeper into its share than the others are. Pure, without time.
 */
public final class TenantWorth {
    /** Weight of the newest request: the mix is of about the last sixteen. */
    private static final double GAIN = 0.06;
    /** A tenant so many times further into its share than the rest sends beyond it: theirs is rarely full. */
    private static final double OVER_SHARE = 1.4;
    private static final double LEAST = 0.01;

    private final double[] shares;
    private final double[] mix;
    private final double overShareWorth;

    public TenantWorth(List<Tenant> tenants, double overShareWorth) {
        shares = tenants.stream().mapToDouble(t -> Math.max(LEAST, Math.min(1 - LEAST, t.share()))).toArray();
        mix = shares.clone();
        this.overShareWorth = overShareWorth;
    }

    /** Counts a request of this tenant, and says what it is worth: up to 1. */
    public double worth(int tenant) {
        if (tenant < 0 || mix.length < 2) {
            return 1;
        }
        for (int t = 0; t < mix.length; t++) {
            mix[t] += GAIN * ((t == tenant ? 1 : 0) - mix[t]);
        }
        double into = mix[tenant] / shares[tenant] * (1 - shares[tenant]) / Math.max(LEAST, 1 - mix[tenant]);
        double within = Math.min(1, OVER_SHARE / into);
        return within + (1 - within) * overShareWorth;
    }
}
