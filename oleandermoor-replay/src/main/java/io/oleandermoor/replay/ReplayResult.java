package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Results of one replay.
 *
 * @param requests requests of the trace
 * @param answered answers given
 * @param attainedPerAccelerator tokens/s of requests whose first token came in time, for each accelerator
 * @param moves loads of models after the warm-up
 * @param worstServed smallest attainment of a team divided by the mean of the teams; 1 is even
 * @param wrongfulRefusals requests refused, for any reason, while the demand of the team was within rate and burst
 * @param wrongfulByRate those of them refused by the rate decision
 * @param tokensOverLimit tokens above rate·t + burst
 * @param unreachableModelSeconds seconds without a ready copy, summed over models
 * @param crashes crashes of engines
 * @param blocked crashing requests that were refused because of their content
 * @param blockedOthers requests that crash nothing and were refused as if they did
 * @param attainment tokens served in time for each team in relation to those that an ideal bucket with its rate and
 *     burst admits, at most 1
 * @param times first-token and queue times
 * @param violations broken invariants
 */
public record ReplayResult(
        long requests,
        long answered,
        double attainedPerAccelerator,
        long moves,
        double worstServed,
        long wrongfulRefusals,
        long wrongfulByRate,
        long tokensOverLimit,
        double unreachableModelSeconds,
        long crashes,
        long blocked,
        long blockedOthers,
        Map<TeamName, Double> attainment,
        List<Times> times,
        List<String> violations) {

    /**
     * Times of one team and class, in milliseconds.
     *
     * @param team the team
     * @param requestClass the class
     * @param firstTokenMedian median time to the first token
     * @param firstToken99 99th percentile of the time to the first token
     * @param queueMedian median time in the queue
     * @param queue99 99th percentile of the time in the queue
     */
    public record Times(
            TeamName team,
            RequestClass requestClass,
            long firstTokenMedian,
            long firstToken99,
            long queueMedian,
            long queue99) {}

    /** Copies the collections. */
    public ReplayResult {
        attainment = Map.copyOf(attainment);
        times = List.copyOf(times);
        violations = List.copyOf(violations);
    }

    /**
     * Returns the results as text.
     *
     * @return several lines
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "requests %d, answered %d%n"
                        + "attained tokens/s per accelerator %.1f%n"
                        + "model moves %d%n"
                        + "worst-served team %.3f of the mean%n"
                        + "wrongful refusals %d (by rate %d)%n"
                        + "tokens over the limit %d%n"
                        + "unreachable model seconds %.1f%n"
                        + "engine crashes %d, blocked requests %d, others blocked %d%n",
                requests,
                answered,
                attainedPerAccelerator,
                moves,
                worstServed,
                wrongfulRefusals,
                wrongfulByRate,
                tokensOverLimit,
                unreachableModelSeconds,
                crashes,
                blocked,
                blockedOthers));
        for (Times time : times) {
            text.append(String.format(
                    Locale.ROOT,
                    "%s %s: attainment %.4f, first token p50 %d ms p99 %d ms, queue p50 %d ms p99 %d ms%n",
                    time.team(),
                    time.requestClass(),
                    attainment.getOrDefault(time.team(), 1.0),
                    time.firstTokenMedian(),
                    time.firstToken99(),
                    time.queueMedian(),
                    time.queue99()));
        }
        violations.forEach(
                violation -> text.append("violation: ").append(violation).append('\n'));
        return text.append("invariants ")
                .append(violations.isEmpty() ? "hold" : "broken")
                .toString();
    }
}
