package io.oleandermoor.state.placement;

/**
 * A known daily end of a part of the demand, such as the closing of shops.
 *
 * @param closingMinute minute of the day when the demand ends, 0 to 1439
 * @param openingMinute minute of the day when the demand returns, 0 to 1439
 * @param demandRatio part of the model's demand that ends, 0 to 1
 */
public record ClosingHours(int closingMinute, int openingMinute, double demandRatio) {

    /** Minutes of a day. */
    static final int MINUTES_PER_DAY = 1_440;

    /** Checks the numbers. */
    public ClosingHours {
        if (closingMinute < 0
                || closingMinute >= MINUTES_PER_DAY
                || openingMinute < 0
                || openingMinute >= MINUTES_PER_DAY) {
            throw new IllegalArgumentException("closesMinute " + closingMinute + " and opensMinute " + openingMinute
                    + " must be minutes of a day");
        }
        if (!(demandRatio >= 0) || demandRatio > 1) {
            throw new IllegalArgumentException("share must be from 0 to 1: " + demandRatio);
        }
    }

    boolean isClosed(int minuteOfDay) {
        return closingMinute <= openingMinute
                ? minuteOfDay >= closingMinute && minuteOfDay < openingMinute
                : minuteOfDay >= closingMinute || minuteOfDay < openingMinute;
    }
}
