package io.oleandermoor.state.placement;

import java.util.List;
import java.util.Map;

/**
 * Recorded demand as stored in the key-value service. Means are rounded to whole tokens/s, so that one week of 530
 * models stays below the maximum size of a value.
 *
 * @param nextHour the hour after the last recorded one, in hours since the epoch
 * @param samples number of samples of each recorded hour, oldest first
 * @param models hourly means of each model in tokens/s, in the order of {@code samples}
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
