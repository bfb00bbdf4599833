package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.OpeningHours;
import io.oleandermoor.state.identity.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the demand for each model, as samples per minute and as hourly means of the last week, and forecasts it.
 * Hours are in UTC. The caller passes the wall-clock time; a time in an earlier hour counts as the current hour. Not
 * thread-safe.
 */
public final class DemandRecorder {

    /** Interval between samples. */
    public static final Duration SAMPLE_INTERVAL = Duration.ofMinutes(1);

    /** Number of complete days for which hourly means are kept. */
    static final int HISTORY_DAYS = 7;

    /**
     * Forecast horizon. At the load rate of the weight store, the models of a failure domain are reloaded within a few
     * minutes, so copies that are planned now are in use at the horizon.
     */
    static final int FORECAST_HORIZON_MINUTES = 10;

    /**
     * Extension of the forecast horizon shortly before an opening. Hourly means are interpolated between the midpoints
     * of hours, which halves the step in demand at an opening.
     */
    private static final int OPENING_HORIZON_EXTENSION_MINUTES = 30;

    private static final int HOURS_PER_DAY = 24;
    private static final int MAXIMUM_RECENT_SAMPLES = 10;
    private static final int RETAINED_HOURS = (HISTORY_DAYS + 1) * HOURS_PER_DAY;

    /** Minimum number of samples for a meaningful hourly mean. */
    private static final int MINIMUM_SAMPLES_PER_HOUR = 30;

    private final Deque<HourTotals> hours = new ArrayDeque<>();
    private final Map<ModelName, Deque<Double>> recentSamples = new HashMap<>();
    private HourTotals currentHour = new HourTotals(Long.MIN_VALUE);

    /**
     * Creates a recorder that continues from an archive.
     *
     * @param archive the demand that an earlier owner recorded
     * @return the recorder
     */
    public static DemandRecorder restore(DemandArchive archive) {
        DemandRecorder recorder = new DemandRecorder();
        int count = archive.samples().size();
        for (int index = 0; index < count; index++) {
            HourTotals hour = new HourTotals(archive.nextHour() - count + index);
            hour.samples = archive.samples().get(index);
            for (Map.Entry<String, List<Long>> entry : archive.models().entrySet()) {
                double sum = (double) entry.getValue().get(index) * hour.samples;
                if (sum > 0) {
                    hour.sums.put(new ModelName(entry.getKey()), sum);
                }
            }
            recorder.hours.add(hour);
        }
        return recorder;
    }

    /**
     * Records a sample. It has to be called once per {@link #SAMPLE_INTERVAL}.
     *
     * @param now the wall-clock time
     * @param demand the demand for each model in tokens/s
     */
    public void recordSample(Instant now, Map<ModelName, Double> demand) {
        advanceTo(now);
        currentHour.samples++;
        Set<ModelName> models = new HashSet<>(recentSamples.keySet());
        models.addAll(demand.keySet());
        for (ModelName model : models) {
            double rate = demand.getOrDefault(model, 0.0);
            if (rate > 0) {
                currentHour.sums.merge(model, rate, Double::sum);
            }
            Deque<Double> samples = recentSamples.computeIfAbsent(model, name -> new ArrayDeque<>());
            samples.add(rate);
            if (samples.size() > MAXIMUM_RECENT_SAMPLES) {
                samples.remove();
            }
        }
        recentSamples.values().removeIf(samples -> samples.stream().allMatch(rate -> rate == 0));
    }

    /**
     * Forecasts the demand for all models.
     *
     * @param now the wall-clock time
     * @param currentDemand the current demand for each model in tokens/s
     * @param openingHours the configured opening hours of teams
     * @return the demand for each model that has current or recorded demand
     */
    public Map<ModelName, DemandEstimate> forecast(
            Instant now, Map<ModelName, Double> currentDemand, List<OpeningHours> openingHours) {
        List<Map<ModelName, List<Double>>> days = completeDays(now);
        Set<ModelName> models = new HashSet<>(currentDemand.keySet());
        models.addAll(recentSamples.keySet());
        days.forEach(day -> models.addAll(day.keySet()));
        int minuteOfDay = now.atZone(ZoneOffset.UTC).toLocalTime().toSecondOfDay() / 60;
        List<Integer> horizons = horizons(openingHours, now);
        Map<ModelName, DemandEstimate> demand = new LinkedHashMap<>();
        for (ModelName model : models) {
            List<List<Double>> hourlyMeansByDay = days.stream()
                    .map(day -> day.getOrDefault(model, Collections.nCopies(HOURS_PER_DAY, 0.0)))
                    .toList();
            DemandHistory history = new DemandHistory(
                    hourlyMeansByDay, List.copyOf(recentSamples.getOrDefault(model, new ArrayDeque<>())));
            double expected = horizons.stream()
                    .mapToDouble(horizon -> DemandForecaster.forecast(history, List.of(), minuteOfDay, horizon))
                    .max()
                    .orElse(0);
            demand.put(model, new DemandEstimate(currentDemand.getOrDefault(model, 0.0), expected));
        }
        return demand;
    }

    /**
     * Returns the recorded demand in the form stored in the key-value service.
     *
     * @return hourly means, including the samples of the incomplete current hour
     */
    public DemandArchive archive() {
        List<HourTotals> allHours = new ArrayList<>(hours);
        if (currentHour.samples > 0) {
            allHours.add(currentHour);
        }
        Map<String, List<Long>> means = new HashMap<>();
        for (int index = 0; index < allHours.size(); index++) {
            HourTotals hour = allHours.get(index);
            for (ModelName model : hour.sums.keySet()) {
                means.computeIfAbsent(model.value(), name -> new ArrayList<>(Collections.nCopies(allHours.size(), 0L)))
                        .set(index, Math.round(hour.mean(model)));
            }
        }
        long nextHour = allHours.isEmpty() ? 0 : allHours.get(allHours.size() - 1).number + 1;
        return new DemandArchive(
                nextHour, allHours.stream().map(hour -> hour.samples).toList(), means);
    }

    /** Begins a new hour if the time has reached it. Hours without an owner are kept as incomplete hours. */
    private void advanceTo(Instant now) {
        long number = hourOf(now);
        if (number <= currentHour.number) {
            return;
        }
        if (currentHour.samples > 0) {
            hours.add(currentHour);
        }
        // Archived hours in the future come from a wrong clock. Hours that are too old do not cover the last days.
        hours.removeIf(hour -> hour.number > number || number - hour.number >= RETAINED_HOURS);
        HourTotals lastHour = hours.peekLast();
        if (lastHour != null && lastHour.number == number) {
            currentHour = hours.removeLast();
            return;
        }
        for (long skipped = lastHour == null ? number : lastHour.number + 1; skipped < number; skipped++) {
            hours.add(new HourTotals(skipped));
        }
        currentHour = new HourTotals(number);
    }

    /** Returns the hourly means of earlier days, the most recent day first. Days with incomplete hours are omitted. */
    private List<Map<ModelName, List<Double>>> completeDays(Instant now) {
        Map<Long, HourTotals> hoursByNumber = new HashMap<>();
        hours.forEach(hour -> hoursByNumber.put(hour.number, hour));
        long today = Math.floorDiv(hourOf(now), HOURS_PER_DAY);
        List<Map<ModelName, List<Double>>> days = new ArrayList<>();
        for (long day = today - 1; day >= today - HISTORY_DAYS; day--) {
            List<HourTotals> hoursOfDay = new ArrayList<>();
            for (int hour = 0; hour < HOURS_PER_DAY; hour++) {
                hoursOfDay.add(hoursByNumber.getOrDefault(day * HOURS_PER_DAY + hour, new HourTotals(0)));
            }
            if (hoursOfDay.stream().allMatch(HourTotals::isComplete)) {
                days.add(hourlyMeans(hoursOfDay));
            }
        }
        return days;
    }

    private static Map<ModelName, List<Double>> hourlyMeans(List<HourTotals> hours) {
        Set<ModelName> models = new HashSet<>();
        hours.forEach(hour -> models.addAll(hour.sums.keySet()));
        Map<ModelName, List<Double>> means = new HashMap<>();
        models.forEach(model ->
                means.put(model, hours.stream().map(hour -> hour.mean(model)).toList()));
        return means;
    }

    /** Returns the forecast horizons, with one in the first hour after an opening if a group opens soon. */
    private static List<Integer> horizons(List<OpeningHours> openingHours, Instant now) {
        Instant horizon = now.plus(Duration.ofMinutes(FORECAST_HORIZON_MINUTES));
        boolean opens = openingHours.stream().anyMatch(group -> !group.isOpenAt(now) && group.isOpenAt(horizon));
        return opens
                ? List.of(FORECAST_HORIZON_MINUTES, FORECAST_HORIZON_MINUTES + OPENING_HORIZON_EXTENSION_MINUTES)
                : List.of(FORECAST_HORIZON_MINUTES);
    }

    private static long hourOf(Instant time) {
        return Math.floorDiv(time.getEpochSecond(), Duration.ofHours(1).toSeconds());
    }

    /** Sums and number of the samples of one hour. */
    private static final class HourTotals {

        private final long number;
        private final Map<ModelName, Double> sums = new HashMap<>();
        private int samples;

        HourTotals(long number) {
            this.number = number;
        }

        double mean(ModelName model) {
            return samples == 0 ? 0 : sums.getOrDefault(model, 0.0) / samples;
        }

        boolean isComplete() {
            return samples >= MINIMUM_SAMPLES_PER_HOUR;
        }
    }
}
