package io.oleandermoor.state.placement;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.ModelVersion;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assignment of models and adapters to upstreams. Immutable and thread-safe.
 *
 * @param version the version of the plan, which orders all plans
 * @param upstreams the assignment of each usable upstream
 */
public record PlacementPlan(PlanVersion version, SortedMap<UpstreamId, Assignment> upstreams) {

    /** Copies the map. */
    public PlacementPlan {
        upstreams = Collections.unmodifiableSortedMap(new TreeMap<>(upstreams));
    }

    /**
     * Returns whether this plan is newer than another one and replaces it.
     *
     * @param other the plan in force
     * @return true if (term, sequence) of this plan is greater
     */
    public boolean isNewerThan(PlacementPlan other) {
        return version.compareTo(other.version) > 0;
    }

    /**
     * Returns the assignment of an upstream.
     *
     * @param upstream the upstream
     * @return its assignment, or {@link Assignment#EMPTY} if the plan does not use the upstream
     */
    public Assignment assignment(UpstreamId upstream) {
        return upstreams.getOrDefault(upstream, Assignment.EMPTY);
    }

    @JsonCreator
    static PlacementPlan fromCompact(CompactPlan compact) {
        return compact.toPlan();
    }

    @JsonValue
    CompactPlan toCompact() {
        return CompactPlan.of(this);
    }

    /**
     * Weights that are assigned to one upstream.
     *
     * @param models the models, sorted by name
     * @param adapters the adapters, sorted by name
     */
    public record Assignment(List<ModelVersion> models, List<AdapterVersion> adapters) {

        /** Assignment without weights. */
        public static final Assignment EMPTY = new Assignment(List.of(), List.of());

        /** Copies the lists. */
        public Assignment {
            models = List.copyOf(models);
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * JSON representation of a plan. Names are listed once and referenced by position, which keeps the plan for 4,600
     * upstreams below the maximum size of a value in the key-value service, 1 MB.
     */
    record CompactPlan(
            long term,
            long sequence,
            List<ModelVersion> models,
            List<AdapterVersion> adapters,
            Map<String, List<List<Integer>>> upstreams) {

        static CompactPlan of(PlacementPlan plan) {
            PositionTable<ModelVersion> models = new PositionTable<>();
            PositionTable<AdapterVersion> adapters = new PositionTable<>();
            Map<String, List<List<Integer>>> upstreams = new TreeMap<>();
            plan.upstreams.forEach((upstream, assignment) -> {
                List<Integer> modelPositions =
                        assignment.models().stream().map(models::position).toList();
                List<Integer> adapterPositions =
                        assignment.adapters().stream().map(adapters::position).toList();
                upstreams.put(
                        upstream.value(),
                        adapterPositions.isEmpty()
                                ? List.of(modelPositions)
                                : List.of(modelPositions, adapterPositions));
            });
            return new CompactPlan(
                    plan.version.term(), plan.version.sequence(), models.list(), adapters.list(), upstreams);
        }

        PlacementPlan toPlan() {
            SortedMap<UpstreamId, Assignment> assignments = new TreeMap<>();
            upstreams.forEach((upstream, positions) -> assignments.put(
                    new UpstreamId(upstream),
                    new Assignment(
                            positions.get(0).stream().map(models::get).toList(),
                            positions.size() < 2
                                    ? List.of()
                                    : positions.get(1).stream()
                                            .map(adapters::get)
                                            .toList())));
            return new PlacementPlan(new PlanVersion(term, sequence), assignments);
        }
    }

    /** Assigns positions to values in the order of their first use. */
    private static final class PositionTable<T> {
        private final Map<T, Integer> positions = new LinkedHashMap<>();

        int position(T value) {
            return positions.computeIfAbsent(value, key -> positions.size());
        }

        List<T> list() {
            return List.copyOf(positions.keySet());
        }
    }
}
