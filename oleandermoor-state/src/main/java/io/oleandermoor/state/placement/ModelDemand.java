package io.oleandermoor.state.placement;

/**
 * Demand for one model over the whole fleet.
 *
 * @param present tokens/s asked for now
 * @param forecast tokens/s expected when copies loaded now are in use
 */
public record ModelDemand(double present, double forecast) {

    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0);

    /** Checks that both numbers are usable. */
    public ModelDemand {
        if (!(present >= 0) || !(forecast >= 0)) {
            throw new IllegalArgumentException(
                    "present " + present + " and forecast " + forecast + " must not be negative");
        }
    }
}
