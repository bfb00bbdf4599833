package io.oleandermoor.state.placement;

import java.util.List;

/**
 * Forecasts the demand of a model from the same hour of earlier days, known closing hours and the recent trend. Pure
 * functions.
 */
public final class DemandForecaster {

    /** Weight of a day relative to the day after it. */
    private static final double DAILY_WEIGHT_DECAY = 0.7;

    /** Part of the recent trend that is expected to continue; full continuation overshoots after a burst. */
    private static final double TREND_DAMPING = 0.5;

    /** Largest factor between the level of today and that of earlier days that is carried forward. */
    private static final double MAXIMUM_LEVEL_RATIO = 3;

    private DemandForecaster() {}

    /**
     * Forecasts the demand.
     *
     * @param history past demand
     * @param closings closing hours of callers of the model
     * @param minuteOfDay the present minute of the day, 0 to 1439
     * @param horizonMinutes how far ahead to look, in minutes, not negative
     * @return expected tokens/s, not negative
     */
    public static double forecast(
            DemandHistory history, List<ClosingHours> closings, int minuteOfDay, int horizonMinutes) {
        if (minuteOfDay < 0 || minuteOfDay >= ClosingHours.MINUTES_PER_DAY || horizonMinutes < 0) {
            throw new IllegalArgumentException("minuteOfDay " + minuteOfDay + " must be a minute of a day and"
                    + " horizonMinutes " + horizonMinutes + " must not be negative");
        }
        int then = (minuteOfDay + horizonMinutes) % ClosingHours.MINUTES_PER_DAY;
        double continued = history.current() + TREND_DAMPING * trend(history.recentSamples()) * horizonMinutes;
        double recent = Math.max(0, continued) * openRatio(closings, minuteOfDay, then);
        if (history.hourlyMeansByDay().isEmpty()) {
            return recent;
        }
        double seasonal = seasonal(history, then) * levelRatio(history, minuteOfDay);
        double seasonalWeight =
                history.hourlyMeansByDay().size() / (history.hourlyMeansByDay().size() + 1.0);
        return seasonalWeight * seasonal + (1 - seasonalWeight) * recent;
    }

    /** Returns the change per minute of the least-squares line through the samples. */
    private static double trend(List<Double> samples) {
        int count = samples.size();
        if (count < 2) {
            return 0;
        }
        double meanTime = (count - 1) / 2.0;
        double meanValue =
                samples.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (int index = 0; index < count; index++) {
            covariance += (index - meanTime) * (samples.get(index) - meanValue);
            variance += (index - meanTime) * (index - meanTime);
        }
        return covariance / variance;
    }

    /** Returns the demand that remains of the present one. Earlier days already contain their closing hours. */
    private static double openRatio(List<ClosingHours> closings, int now, int then) {
        double factor = 1;
        for (ClosingHours closing : closings) {
            if (closing.isClosed(then) && !closing.isClosed(now)) {
                factor *= 1 - closing.demandRatio();
            }
        }
        return factor;
    }

    /** Returns the weighted mean of earlier days, interpolated between the middles of hours. */
    private static double seasonal(DemandHistory history, int minuteOfDay) {
        double position = (minuteOfDay / 60.0 + 23.5) % 24;
        int hour = (int) position;
        double part = position - hour;
        double sum = 0;
        double weights = 0;
        double weight = 1;
        for (List<Double> day : history.hourlyMeansByDay()) {
            sum += weight * ((1 - part) * day.get(hour) + part * day.get((hour + 1) % 24));
            weights += weight;
            weight *= DAILY_WEIGHT_DECAY;
        }
        return sum / weights;
    }

    /** Returns how much more is asked for today than on earlier days, damped and bounded. */
    private static double levelRatio(DemandHistory history, int minuteOfDay) {
        double usual = seasonal(history, minuteOfDay);
        if (history.recentSamples().isEmpty() || usual <= 0) {
            return 1;
        }
        double ratio = Math.sqrt(history.current() / usual);
        return Math.max(1 / MAXIMUM_LEVEL_RATIO, Math.min(MAXIMUM_LEVEL_RATIO, ratio));
    }
}
