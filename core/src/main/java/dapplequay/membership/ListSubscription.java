package dapplequay.membership;

import dapplequay.BalancerApi.Actions;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.Settings;
import java.util.SplittableRandom;

/**
 * Whether an instance follows the server list, and when it asks for it; beside the decision module, which takes the
 * list as it comes. Pure: it asks and sets timers through the module's actions. Not thread-safe.
 */
public final class ListSubscription {
    /** Of its timer; the module's tokens are above 0. */
    private static final long TOKEN = 0;

    private final Actions actions;
    private final SplittableRandom random;
    private boolean onRequest;
    private ListCallBackoff pace;
    private boolean following;

    public ListSubscription(Settings settings, long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
        configure(settings);
    }

    public void configure(Settings settings) {
        onRequest = settings.discovery().onRequest();
        pace = new ListCallBackoff(settings.discovery(), PseudoRandom.evenlySpread(settings.position()), random);
    }

    /** A list came and was taken over, or failed to come. */
    public void listReceived(ListKind kind) {
        if (kind == ListKind.FAILED) {
            following = false;
            actions.setTimer(pace.failedUs(), TOKEN);
        } else if (kind != ListKind.RESTORED) {
            following = true;
            pace.answered();
        } else if (onRequest) {
            // All instances start together and discovery does not grow with them: ask one after another.
            actions.setTimer(pace.firstUs(), TOKEN);
        }
    }

    /** A timer ran off: whether it was one of these. */
    public boolean timerFired(long token) {
        if (token == TOKEN && !following) {
            actions.watchFleet(true);
        }
        return token == TOKEN;
    }
}
