package io.oleandermoor.state.placement;

import java.util.List;

/**
 * Forecasts the demand for a model from the same hour of earlier days, known closing hours and the recent trend.
 * Stateless.
 */
public final class DemandForecaster {

    /** Ratio of the weight of a day to the weight of the following day. */
    private static final double DAILY_WEIGHT_DECAY = 0.7;

    /** Ratio by which the recent trend is extrapolated; the full trend overshoots after a burst. */
    private static final double TREND_DAMPING = 0.5;

    /** Maximum ratio between today's demand and that of earlier days, and its inverse the minimum. */
    private static final double MAXIMUM_LEVEL_RATIO = 3;

    private DemandForecaster() {}

    /**
     * Forecasts the demand for a model.
     *
     * @param history past demand
     * @param closings closing hours of the callers of the model
     * @param minuteOfDay the current minute of the day, 0 to 1439
     * @param horizonMinutes forecast horizon in minutes, not negative
     * @return the expected demand in tokens/s, not negative
     */
    public static double forecast(
            DemandHistory history, List<ClosingHours> closings, int minuteOfDay, int horizonMinutes) {
        if (minuteOfDay < 0 || minuteOfDay >= ClosingHours.MINUTES_PER_DAY || horizonMinutes < 0) {
            throw new IllegalArgumentException("minuteOfDay " + minuteOfDay + " must be a minute of a day and"
                    + " horizonMinutes " + horizonMinutes + " must not be negative");
        }
        int targetMinute = (minuteOfDay + horizonMinutes) % ClosingHours.MINUTES_PER_DAY;
        double extrapolated = history.current() + TREND_DAMPING * trend(history.recentSamples()) * horizonMinutes;
        double recent = Math.max(0, extrapolated) * openRatio(closings, minuteOfDay, targetMinute);
        if (history.hourlyMeansByDay().isEmpty()) {
            return recent;
        }
        double seasonal = seasonal(history, targetMinute) * levelRatio(history, minuteOfDay);
        double seasonalWeight =
                history.hourlyMeansByDay().size() / (history.hourlyMeansByDay().size() + 1.0);
        return seasonalWeight * seasonal + (1 - seasonalWeight) * recent;
    }

    /** Returns the slope per minute of the least-squares line through the samples. */
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

    /** Returns the ratio of demand that remains after closings. Earlier days already include the effect of closings. */
    private static double openRatio(List<ClosingHours> closings, int currentMinute, int targetMinute) {
        double ratio = 1;
        for (ClosingHours closing : closings) {
            if (closing.isClosed(targetMinute) && !closing.isClosed(currentMinute)) {
                ratio *= 1 - closing.demandRatio();
            }
        }
        return ratio;
    }

    /** Returns the weighted mean of earlier days, interpolated between the midpoints of hours. */
    private static double seasonal(DemandHistory history, int minuteOfDay) {
        double position = (minuteOfDay / 60.0 + 23.5) % 24;
        int hour = (int) position;
        double fraction = position - hour;
        double sum = 0;
        double weightSum = 0;
        double weight = 1;
        for (List<Double> day : history.hourlyMeansByDay()) {
            sum += weight * ((1 - fraction) * day.get(hour) + fraction * day.get((hour + 1) % 24));
            weightSum += weight;
            weight *= DAILY_WEIGHT_DECAY;
        }
        return sum / weightSum;
    }

    /** Returns the damped and bounded ratio of today's demand to that of earlier days. */
    private static double levelRatio(DemandHistory history, int minuteOfDay) {
        double expected = seasonal(history, minuteOfDay);
        if (history.recentSamples().isEmpty() || expected <= 0) {
            return 1;
        }
        double ratio = Math.sqrt(history.current() / expected);
        return Math.max(1 / MAXIMUM_LEVEL_RATIO, Math.min(MAXIMUM_LEVEL_RATIO, ratio));
    }
}
