package io.oleandermoor.state.placement;

import java.util.List;

/**
 * Past demand of one model, in tokens/s.
 *
 * @param days hourly means of earlier days, the most recent day first; 24 values for each day, from midnight on
 * @param recent samples of the last minutes, one a minute, the latest last
 */
public record DemandHistory(List<List<Double>> days, List<Double> recent) {

    /** Checks the lengths and copies the lists. */
    public DemandHistory {
        days = days.stream().map(List::copyOf).toList();
        recent = List.copyOf(recent);
        for (List<Double> day : days) {
            if (day.size() != 24) {
                throw new IllegalArgumentException("a day must have 24 hourly means but has " + day.size());
            }
        }
    }

    /** Returns the latest sample, or 0 if there is none. */
    double present() {
        return recent.isEmpty() ? 0 : recent.get(recent.size() - 1);
    }
}
