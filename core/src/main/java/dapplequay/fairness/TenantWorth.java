package dapplequay.fairness;

import dapplequay.BalancerApi.Tenant;
import java.util.List;

/**
 * Weighs a request by its tenant. The usage across all instances is unknown, but a burst of one tenant shows in the mix
 * of requests at each instance: the tenant is over its share while the others are not. Pure, without time.
 */
public final class TenantWorth {
    /** Weight of the newest request: the mix covers about the last sixteen. */
    private static final double GAIN = 0.06;
    /** A tenant counts as over its share from this multiple of the others' usage: they rarely use all of theirs. */
    private static final double OVER_SHARE_MULTIPLE = 1.4;
    /** Bounds shares and mix away from 0 and 1, as they are divided by. */
    private static final double MIN_SHARE = 0.01;

    /** By tenant: the share of requests that it is entitled to. */
    private final double[] shares;
    /** By tenant: its share of the recent requests. */
    private final double[] mix;
    /** Worth of a request far over its tenant's share. */
    private final double overShareWorth;

    public TenantWorth(List<Tenant> tenants, double overShareWorth) {
        shares = tenants.stream().mapToDouble(t -> Math.max(MIN_SHARE, Math.min(1 - MIN_SHARE, t.share()))).toArray();
        mix = shares.clone();
        this.overShareWorth = overShareWorth;
    }

    /**
     * Counts a request of a tenant, and returns its worth as a share of its class's worth, up to 1.
     *
     * @param tenant the tenant's index; -1: none
     */
    public double worth(int tenant) {
        if (tenant < 0 || mix.length < 2) {
            return 1;
        }
        for (int t = 0; t < mix.length; t++) {
            mix[t] += GAIN * ((t == tenant ? 1 : 0) - mix[t]);
        }
        double usageVersusOthers = mix[tenant] / shares[tenant] * (1 - shares[tenant])
                / Math.max(MIN_SHARE, 1 - mix[tenant]);
        double withinShare = Math.min(1, OVER_SHARE_MULTIPLE / usageVersusOthers);
        return withinShare + (1 - withinShare) * overShareWorth;
    }
}
