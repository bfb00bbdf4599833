package io.oleandermoor.state.placement;

/**
 * Daily hours in which a part of the demand is known to be absent, such as when shops are closed.
 *
 * @param closingMinute minute of the day at which the demand ends, 0 to 1439
 * @param openingMinute minute of the day at which the demand resumes, 0 to 1439
 * @param demandRatio ratio of the absent demand to the whole demand for the model, 0 to 1
 */
public record ClosingHours(int closingMinute, int openingMinute, double demandRatio) {

    /** Number of minutes in a day. */
    static final int MINUTES_PER_DAY = 1_440;

    /** Validates the values. */
    public ClosingHours {
        if (closingMinute < 0
                || closingMinute >= MINUTES_PER_DAY
                || openingMinute < 0
                || openingMinute >= MINUTES_PER_DAY) {
            throw new IllegalArgumentException("closingMinute " + closingMinute + " and openingMinute " + openingMinute
                    + " must be minutes of a day");
        }
        if (!(demandRatio >= 0) || demandRatio > 1) {
            throw new IllegalArgumentException("demandRatio must be from 0 to 1: " + demandRatio);
        }
    }

    boolean isClosed(int minuteOfDay) {
        return closingMinute <= openingMinute
                ? minuteOfDay >= closingMinute && minuteOfDay < openingMinute
                : minuteOfDay >= closingMinute || minuteOfDay < openingMinute;
    }
}
