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
 * What each upstream is wanted to hold. Immutable and safe for use by several threads.
 *
 * @param version the position of the plan among all plans
 * @param upstreams the wanted weights of each usable upstream
 */
public record PlacementPlan(PlanVersion version, SortedMap<UpstreamId, Assignment> upstreams) {

    /** Copies the map. */
    public PlacementPlan {
        upstreams = Collections.unmodifiableSortedMap(new TreeMap<>(upstreams));
    }

    /**
     * Returns whether this plan replaces another.
     *
     * @param other the plan in force
     * @return true if (term, sequence) is greater
     */
    public boolean isNewerThan(PlacementPlan other) {
        return version.compareTo(other.version) > 0;
    }

    /**
     * Returns what an upstream is wanted to hold.
     *
     * @param upstream the upstream
     * @return its weights, {@link Assignment#EMPTY} if the plan does not use the upstream
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
     * Weights that one upstream is wanted to hold.
     *
     * @param models the models, sorted by name
     * @param adapters the adapters, sorted by name
     */
    public record Assignment(List<ModelVersion> models, List<AdapterVersion> adapters) {

        /** No weights at all. */
        public static final Assignment EMPTY = new Assignment(List.of(), List.of());

        /** Copies the lists. */
        public Assignment {
            models = List.copyOf(models);
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * Form of a plan in JSON. Names are listed once and referred to by position, which keeps the plan for 4,600
     * upstreams below the 1 MB that a value in the key-value service may have.
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
            plan.upstreams.forEach((upstream, wanted) -> {
                List<Integer> modelPositions =
                        wanted.models().stream().map(models::position).toList();
                List<Integer> adapterPositions =
                        wanted.adapters().stream().map(adapters::position).toList();
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
            SortedMap<UpstreamId, Assignment> wanted = new TreeMap<>();
            upstreams.forEach((upstream, positions) -> wanted.put(
                    new UpstreamId(upstream),
                    new Assignment(
                            positions.get(0).stream().map(models::get).toList(),
                            positions.size() < 2
                                    ? List.of()
                                    : positions.get(1).stream()
                                            .map(adapters::get)
                                            .toList())));
            return new PlacementPlan(new PlanVersion(term, sequence), wanted);
        }
    }

    /** Positions of values in the order of their first use. */
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
