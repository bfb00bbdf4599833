package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Samples of one replay at equal intervals, from the start of the trace to its end. All lists have one element for each
 * interval. Immutable.
 *
 * @param intervalMillis replayed milliseconds of an interval
 * @param timeFactor recorded seconds for each replayed second
 * @param teams what is sampled for each team
 * @param modelMoves loads of models
 * @param residency the ready copies of models, near the start of the interval
 */
public record Timeline(
        long intervalMillis,
        int timeFactor,
        Map<TeamName, OfTeam> teams,
        List<Long> modelMoves,
        List<Set<Copy>> residency) {

    /** Copies the collections. */
    public Timeline {
        teams = Map.copyOf(teams);
        modelMoves = List.copyOf(modelMoves);
        residency = List.copyOf(residency);
    }

    /**
     * A ready copy of a model.
     *
     * @param model the model
     * @param upstream the engine that holds it
     */
    public record Copy(ModelName model, UpstreamId upstream) {}

    /**
     * Samples of one team, each counted in the interval in which the request arrived. Attainment and times in the queue
     * are taken over the interval and two on either side.
     *
     * @param attainment tokens served in time in relation to those that an ideal bucket admits, at most 1; NaN where it
     *     admits none
     * @param queueMillis mean time in the queue by class; NaN where no request of the class started
     * @param refusals refused requests by reason
     */
    public record OfTeam(
            List<Double> attainment, Map<RequestClass, List<Double>> queueMillis, Map<Refusal, List<Long>> refusals) {

        /** Copies the collections. */
        public OfTeam {
            attainment = List.copyOf(attainment);
            queueMillis = Map.copyOf(queueMillis);
            refusals = Map.copyOf(refusals);
        }
    }

    /**
     * Returns the number of intervals.
     *
     * @return at least one
     */
    public int size() {
        return modelMoves.size();
    }

    /**
     * Returns the recorded time at which an interval starts.
     *
     * @param index number of the interval, from 0
     * @return recorded seconds since the start of the trace
     */
    public double recordedSeconds(int index) {
        return index * intervalMillis * timeFactor / 1_000.0;
    }
}
