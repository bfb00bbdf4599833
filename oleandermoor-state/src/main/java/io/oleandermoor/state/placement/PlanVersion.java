package io.oleandermoor.state.placement;

import java.util.Comparator;

/**
 * Version of a plan, which orders all plans.
 *
 * @param term the fencing token of the placement owner
 * @param sequence the number of the plan within the term
 */
public record PlanVersion(long term, long sequence) implements Comparable<PlanVersion> {

    private static final Comparator<PlanVersion> ORDER =
            Comparator.comparingLong(PlanVersion::term).thenComparingLong(PlanVersion::sequence);

    @Override
    public int compareTo(PlanVersion other) {
        return ORDER.compare(this, other);
    }
}
