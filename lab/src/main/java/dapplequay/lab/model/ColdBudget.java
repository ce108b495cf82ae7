package dapplequay.lab.model;

import java.util.ArrayDeque;

/**
 * Tracks how much of its cold-start budget a host was sent: in any window of {@code windowUs}, at most
 * {@code multiple} times the work that its mean capacity allows. Times count from the host's start.
 */
public final class ColdBudget {
    private final double fullCapacity;
    private final double coldFrom;
    private final long warmUpUs;
    private final double multiple;
    private final long windowUs;
    private final ArrayDeque<WorkItem> itemsInWindow = new ArrayDeque<>();
    private double workInWindowUs;
    private double maxUsed;

    private record WorkItem(double atUs, double workUs) { }

    public ColdBudget(HostSpec spec) {
        this(spec.fullCapacity(), spec.coldFrom(), spec.warmUpUs(), spec.tipMultiple(), spec.tipAfterUs());
    }

    /** Creates a budget; {@code fullCapacity} is in work per microsecond, {@code multiple} is over 0. */
    public ColdBudget(double fullCapacity, double coldFrom, long warmUpUs, double multiple, long windowUs) {
        this.fullCapacity = fullCapacity;
        this.coldFrom = coldFrom;
        this.warmUpUs = warmUpUs;
        this.multiple = multiple;
        this.windowUs = windowUs;
    }

    /** Records work sent to the host; returns the share of the budget in use, over 1 if it is exceeded. */
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
        maxUsed = Math.max(maxUsed, usedShare);
        return usedShare;
    }

    /** Returns the greatest share of the budget in use so far. */
    public double maxUsed() {
        return maxUsed;
    }

    /** Returns the work that the host can do from its start up to this time, in microseconds. */
    private double workPossibleUntil(double us) {
        double warmingUs = Math.min(us, warmUpUs);
        double rampWork = warmUpUs == 0 ? 0 : (1 - coldFrom) * warmingUs * warmingUs / (2.0 * warmUpUs);
        return fullCapacity * (coldFrom * warmingUs + rampWork + Math.max(0, us - warmUpUs));
    }
}
