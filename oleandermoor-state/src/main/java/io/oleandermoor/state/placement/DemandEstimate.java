package io.oleandermoor.state.placement;

/**
 * Demand for one model over the whole fleet.
 *
 * @param current tokens/s asked for now
 * @param forecast tokens/s expected when copies loaded now are in use
 */
public record DemandEstimate(double current, double forecast) {

    /** No demand. */
    public static final DemandEstimate NONE = new DemandEstimate(0, 0);

    /** Checks that both numbers are usable. */
    public DemandEstimate {
        if (!(current >= 0) || !(forecast >= 0)) {
            throw new IllegalArgumentException(
                    "present " + current + " and forecast " + forecast + " must not be negative");
        }
    }
}
