package io.oleandermoor.state.placement;

/**
 * Current and forecast demand for one model over the whole fleet.
 *
 * @param current requested tokens/s at present
 * @param forecast expected tokens/s at the time when copies that are loaded now come into use
 */
public record DemandEstimate(double current, double forecast) {

    /** No demand. */
    public static final DemandEstimate NONE = new DemandEstimate(0, 0);

    /** Validates the values. */
    public DemandEstimate {
        if (!(current >= 0) || !(forecast >= 0)) {
            throw new IllegalArgumentException(
                    "current " + current + " and forecast " + forecast + " must not be negative");
        }
    }
}
