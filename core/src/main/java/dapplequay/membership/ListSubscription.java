package dapplequay.membership;

import dapplequay.BalancerApi.Actions;
import dapplequay.BalancerApi.ListKind;
import dapplequay.BalancerApi.Settings;
import java.util.SplittableRandom;

/**
 * Keeps an instance subscribed to the server list, beside the decision module, which applies each list as it arrives.
 * Pure: subscribes and sets timers through the module's actions. Not thread-safe.
 */
public final class ListSubscription {
    /** Token of its timer; the module's tokens are above 0. */
    private static final long TIMER_TOKEN = 0;

    private final Actions actions;
    private final SplittableRandom random;
    private boolean onRequest;
    private ListCallBackoff backoff;
    private boolean subscribed;

    public ListSubscription(Settings settings, long seed, Actions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
        configure(settings);
    }

    public void configure(Settings settings) {
        onRequest = settings.discovery().onRequest();
        backoff = new ListCallBackoff(settings.discovery(), PseudoRandom.evenlySpread(settings.position()), random);
    }

    /** A list was received and applied, or the call for it failed. */
    public void listReceived(ListKind kind) {
        if (kind == ListKind.FAILED) {
            subscribed = false;
            actions.setTimer(backoff.failedUs(), TIMER_TOKEN);
        } else if (kind != ListKind.RESTORED) {
            subscribed = true;
            backoff.answered();
        } else if (onRequest) {
            // All instances start together and discovery does not grow with them: they ask one after another.
            actions.setTimer(backoff.firstUs(), TIMER_TOKEN);
        }
    }

    /** Handles a timer; returns false if the timer is not this object's. */
    public boolean timerFired(long token) {
        if (token == TIMER_TOKEN && !subscribed) {
            actions.watchFleet(true);
        }
        return token == TIMER_TOKEN;
    }
}
