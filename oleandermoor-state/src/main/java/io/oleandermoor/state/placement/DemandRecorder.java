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
 * Records the demand for each model, minute by minute and as hourly means of the last week, and forecasts it. Hours are
 * those of UTC. The caller gives the wall-clock time; a time that goes back is treated as the last one seen. Not safe
 * for use by several threads.
 */
public final class DemandRecorder {

    /** Time between two samples. */
    public static final Duration SAMPLE_INTERVAL = Duration.ofMinutes(1);

    /** Days of which hourly means are kept. */
    static final int HISTORY_DAYS = 7;

    /**
     * How far ahead demand is forecast. A failure domain's models are loaded again within a few minutes at the weight
     * store's rate, so copies that are planned now are in use by then.
     */
    static final int FORECAST_HORIZON_MINUTES = 10;

    /**
     * Extension of the horizon shortly before an opening. Hourly means are interpolated between the middles of hours,
     * which halves the step that an opening makes.
     */
    private static final int OPENING_HORIZON_EXTENSION_MINUTES = 30;

    private static final int HOURS_PER_DAY = 24;
    private static final int MAXIMUM_RECENT_SAMPLES = 10;
    private static final int RETAINED_HOURS = (HISTORY_DAYS + 1) * HOURS_PER_DAY;

    /** Samples without which an hour's mean says too little. */
    private static final int MINIMUM_SAMPLES_PER_HOUR = 30;

    private final Deque<HourTotals> hours = new ArrayDeque<>();
    private final Map<ModelName, Deque<Double>> recentSamples = new HashMap<>();
    private HourTotals currentHour = new HourTotals(Long.MIN_VALUE);

    /**
     * Creates a recorder that continues from an archive.
     *
     * @param archive what an earlier owner recorded
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
     * Takes a sample. To be called once every {@link #SAMPLE_INTERVAL}.
     *
     * @param now the wall-clock time
     * @param demand tokens/s for each model
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
     * Forecasts the demand.
     *
     * @param now the wall-clock time
     * @param present tokens/s asked for now, by model
     * @param openingHours the configured opening hours of teams
     * @return the demand of each model that has any now or is expected to have some
     */
    public Map<ModelName, DemandEstimate> forecast(
            Instant now, Map<ModelName, Double> present, List<OpeningHours> openingHours) {
        List<Map<ModelName, List<Double>>> days = completeDays(now);
        Set<ModelName> models = new HashSet<>(present.keySet());
        models.addAll(recentSamples.keySet());
        days.forEach(day -> models.addAll(day.keySet()));
        int minute = now.atZone(ZoneOffset.UTC).toLocalTime().toSecondOfDay() / 60;
        List<Integer> horizons = horizons(openingHours, now);
        Map<ModelName, DemandEstimate> demand = new LinkedHashMap<>();
        for (ModelName model : models) {
            List<List<Double>> ofModel = days.stream()
                    .map(day -> day.getOrDefault(model, Collections.nCopies(HOURS_PER_DAY, 0.0)))
                    .toList();
            DemandHistory history =
                    new DemandHistory(ofModel, List.copyOf(recentSamples.getOrDefault(model, new ArrayDeque<>())));
            double expected = horizons.stream()
                    .mapToDouble(horizon -> DemandForecaster.forecast(history, List.of(), minute, horizon))
                    .max()
                    .orElse(0);
            demand.put(model, new DemandEstimate(present.getOrDefault(model, 0.0), expected));
        }
        return demand;
    }

    /**
     * Returns what is recorded, for the key-value service.
     *
     * @return hourly means, the present hour as far as it is sampled
     */
    public DemandArchive archive() {
        List<HourTotals> all = new ArrayList<>(hours);
        if (currentHour.samples > 0) {
            all.add(currentHour);
        }
        Map<String, List<Long>> means = new HashMap<>();
        for (int index = 0; index < all.size(); index++) {
            HourTotals hour = all.get(index);
            for (ModelName model : hour.sums.keySet()) {
                means.computeIfAbsent(model.value(), name -> new ArrayList<>(Collections.nCopies(all.size(), 0L)))
                        .set(index, Math.round(hour.mean(model)));
            }
        }
        long nextHour = all.isEmpty() ? 0 : all.get(all.size() - 1).number + 1;
        return new DemandArchive(
                nextHour, all.stream().map(hour -> hour.samples).toList(), means);
    }

    /** Begins a new hour if the time says so. Hours without an owner are kept as incomplete ones. */
    private void advanceTo(Instant now) {
        long number = hourOf(now);
        if (number <= currentHour.number) {
            return;
        }
        if (currentHour.samples > 0) {
            hours.add(currentHour);
        }
        // An archive from the future comes from a wrong clock; one that is too old says nothing about the last days.
        hours.removeIf(hour -> hour.number > number || number - hour.number >= RETAINED_HOURS);
        HourTotals last = hours.peekLast();
        if (last != null && last.number == number) {
            currentHour = hours.removeLast();
            return;
        }
        for (long missing = last == null ? number : last.number + 1; missing < number; missing++) {
            hours.add(new HourTotals(missing));
        }
        currentHour = new HourTotals(number);
    }

    /** Returns the hourly means of earlier days, the most recent day first. Days with incomplete hours are left out. */
    private List<Map<ModelName, List<Double>>> completeDays(Instant now) {
        Map<Long, HourTotals> byNumber = new HashMap<>();
        hours.forEach(hour -> byNumber.put(hour.number, hour));
        long today = Math.floorDiv(hourOf(now), HOURS_PER_DAY);
        List<Map<ModelName, List<Double>>> days = new ArrayList<>();
        for (long day = today - 1; day >= today - HISTORY_DAYS; day--) {
            List<HourTotals> ofDay = new ArrayList<>();
            for (int hour = 0; hour < HOURS_PER_DAY; hour++) {
                ofDay.add(byNumber.getOrDefault(day * HOURS_PER_DAY + hour, new HourTotals(0)));
            }
            if (ofDay.stream().allMatch(HourTotals::isComplete)) {
                days.add(hourlyMeans(ofDay));
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

    /** Returns how far to look ahead: into the first hour after an opening, if a group opens soon. */
    private static List<Integer> horizons(List<OpeningHours> openingHours, Instant now) {
        Instant then = now.plus(Duration.ofMinutes(FORECAST_HORIZON_MINUTES));
        boolean opens = openingHours.stream().anyMatch(group -> !group.isOpenAt(now) && group.isOpenAt(then));
        return opens
                ? List.of(FORECAST_HORIZON_MINUTES, FORECAST_HORIZON_MINUTES + OPENING_HORIZON_EXTENSION_MINUTES)
                : List.of(FORECAST_HORIZON_MINUTES);
    }

    private static long hourOf(Instant time) {
        return Math.floorDiv(time.getEpochSecond(), Duration.ofHours(1).toSeconds());
    }

    /** Sums of the samples of one hour. */
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
