package io.oleandermoor.state.placement;

import java.util.List;
import java.util.Map;

/**
 * Recorded demand in the form in which it is kept at the key-value service. Means are rounded to whole tokens/s, so
 * that a week of 530 models stays below the size of a value.
 *
 * @param nextHour hour since the epoch after the last recorded one
 * @param samples for each recorded hour, oldest first, the number of its samples
 * @param models for each model the hourly means in tokens/s, in the order of {@code samples}
 */
public record DemandArchive(long nextHour, List<Integer> samples, Map<String, List<Long>> models) {

    /** Copies the collections and checks that all lists have the same length. */
    public DemandArchive {
        samples = List.copyOf(samples);
        models = Map.copyOf(models);
        for (Map.Entry<String, List<Long>> entry : models.entrySet()) {
            if (entry.getValue().size() != samples.size()) {
                throw new IllegalArgumentException("model '" + entry.getKey() + "' has "
                        + entry.getValue().size() + " hourly means, expected " + samples.size());
            }
        }
    }
}
