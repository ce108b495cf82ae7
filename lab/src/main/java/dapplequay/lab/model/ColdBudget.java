package dapplequay.lab.model;

import java.util.ArrayDeque;

/**
 * How much of what a cold host can bear was sent to it: within any window of the stated length no more work
 * than {@code multiple} times the host's mean capacity in that window. Times count from the host's start.
 */
public final class ColdBudget {
    private final double fullCapacity;
    private final double coldFrom;
    private final long warmUpUs;
    private final double multiple;
    private final long windowUs;
    private final ArrayDeque<WorkItem> itemsInWindow = new ArrayDeque<>();
    private double workInWindowUs;
    private double maxUsedShare;

    private record WorkItem(double atUs, double workUs) { }

    public ColdBudget(HostSpec spec) {
        this(spec.fullCapacity(), spec.coldFrom(), spec.warmUpUs(), spec.tipMultiple(), spec.tipAfterUs());
    }

    /** {@code fullCapacity}: work per microsecond; {@code multiple}: over 0. */
    public ColdBudget(double fullCapacity, double coldFrom, long warmUpUs, double multiple, long windowUs) {
        this.fullCapacity = fullCapacity;
        this.coldFrom = coldFrom;
        this.warmUpUs = warmUpUs;
        this.multiple = multiple;
        this.windowUs = windowUs;
    }

    /** Takes one piece of work; returns the share of the budget that is used now, over 1: broken. */
    public double recordWork(double sinceStartUs, double workUs) {
        if (sinceStartUs > warmUpUs + windowUs) {
            return 0;
        }
        itemsInWindow.add(new WorkItem(sinceStartUs, workUs));
        workInWindowUs += workUs;
        while (itemsInWindow.peek().atUs() < sinceStartUs - windowUs) {
            workInWindowUs -= itemsInWindow.poll().workUs();
        }
        double windowStartUs = Math.max(0, sinceStartUs - windowUs);
        double spanUs = Math.max(1, sinceStartUs - windowStartUs);
        double meanCapacity = (workPossibleUntil(windowStartUs + spanUs) - workPossibleUntil(windowStartUs)) / spanUs;
        double usedShare = workInWindowUs / (multiple * meanCapacity * windowUs);
        maxUsedShare = Math.max(maxUsedShare, usedShare);
        return usedShare;
    }

    /** The greatest share of the budget used so far. */
    public double maxUsedShare() {
        return maxUsedShare;
    }

    /** Work that could be done from the start up to this time. */
    private double workPossibleUntil(double us) {
        double warmingUs = Math.min(us, warmUpUs);
        double rampWork = warmUpUs == 0 ? 0 : (1 - coldFrom) * warmingUs * warmingUs / (2.0 * warmUpUs);
        return fullCapacity * (coldFrom * warmingUs + rampWork + Math.max(0, us - warmUpUs));
    }
}
