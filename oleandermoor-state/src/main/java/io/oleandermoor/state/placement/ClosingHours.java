package io.oleandermoor.state.placement;

/**
 * A known daily end of a part of the demand, such as the closing of shops.
 *
 * @param closesMinute minute of the day when the demand ends, 0 to 1439
 * @param opensMinute minute of the day when the demand returns, 0 to 1439
 * @param share part of the model's demand that ends, 0 to 1
 */
public record ClosingHours(int closesMinute, int opensMinute, double share) {

    /** Minutes of a day. */
    static final int DAY_MINUTES = 1_440;

    /** Checks the numbers. */
    public ClosingHours {
        if (closesMinute < 0 || closesMinute >= DAY_MINUTES || opensMinute < 0 || opensMinute >= DAY_MINUTES) {
            throw new IllegalArgumentException(
                    "closesMinute " + closesMinute + " and opensMinute " + opensMinute + " must be minutes of a day");
        }
        if (!(share >= 0) || share > 1) {
            throw new IllegalArgumentException("share must be from 0 to 1: " + share);
        }
    }

    boolean isClosed(int minuteOfDay) {
        return closesMinute <= opensMinute
                ? minuteOfDay >= closesMinute && minuteOfDay < opensMinute
                : minuteOfDay >= closesMinute || minuteOfDay < opensMinute;
    }
}
