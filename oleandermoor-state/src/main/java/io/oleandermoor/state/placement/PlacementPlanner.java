package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.finding.Findings;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.ModelVersion;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Computes placement plans. The same input results in the same plan. Immutable and thread-safe.
 *
 * <p>A plan never assigns more to an upstream than fits into its memory. It drops a ready copy only while another
 * assigned copy of the model is ready, so that each change of a plan can be executed immediately and two models never
 * wait for each other's memory. The exception is a full plan that would otherwise leave a model without a copy. It
 * packs the engines anew and keeps only those copies that are the only ready ones of their model.
 */
public final class PlacementPlanner {
    private final PlacementPolicy policy;
    private final PlacementSettings settings;

    /**
     * Creates a planner.
     *
     * @param policy the policy that determines the number of copies
     * @param settings assumptions and thresholds
     */
    public PlacementPlanner(PlacementPolicy policy, PlacementSettings settings) {
        this.policy = policy;
        this.settings = settings;
    }

    /**
     * Computes a full plan for all models.
     *
     * @param state the state of the fleet
     * @param last the plan in force, or empty if there is none
     * @param version the version of the new plan
     * @param findings receives the models and adapters that could not be placed as required
     * @return the plan, which covers as many models as possible
     */
    public PlacementPlan plan(FleetState state, Optional<PlacementPlan> last, PlanVersion version, Findings findings) {
        IndexedFleet fleet = new IndexedFleet(state, policy, settings);
        PlanDraft draft = new PlanDraft(fleet);
        draft.addOnlyReadyCopies();
        last.ifPresent(draft::addAssignments);
        draft.addResidents();
        complete(fleet, draft, false, CopyPlacer.largestFirst(fleet));
        if (countUnplacedModels(fleet, draft) > 0) {
            draft = betterDraft(fleet, draft, packedDraft(fleet, CopyPlacer.largestFirst(fleet)));
            draft = betterDraft(fleet, draft, packedDraft(fleet, CopyPlacer.smallestFirst(fleet)));
        }
        report(fleet, draft, findings);
        return new PlacementPlan(version, draft.toAssignments());
    }

    /**
     * Computes an incremental plan from the last one by placing only the models that are affected by a change. Copies
     * of other models stay where they are, except surplus copies, which may be removed to free memory.
     *
     * @param state the state of the fleet after the change
     * @param last the plan in force
     * @param change the differences from the state that {@code last} was computed for
     * @param version the version of the new plan
     * @param findings receives the models and adapters that could not be placed as required
     * @return the plan
     */
    public PlacementPlan replan(
            FleetState state, PlacementPlan last, FleetChange change, PlanVersion version, Findings findings) {
        IndexedFleet fleet = new IndexedFleet(state, policy, settings);
        PlanDraft draft = new PlanDraft(fleet);
        draft.addOnlyReadyCopies();
        draft.addAssignments(last);
        CopyPlacer placer = new CopyPlacer(fleet, draft, false);
        placer.place(affectedModels(fleet, draft, last, change), CopyPlacer.largestFirst(fleet));
        placer.placeAdapters();
        report(fleet, draft, findings);
        return new PlacementPlan(version, draft.toAssignments());
    }

    private int[] affectedModels(IndexedFleet fleet, PlanDraft draft, PlacementPlan last, FleetChange change) {
        boolean[] affected = new boolean[fleet.models.size()];
        change.models().forEach(name -> mark(affected, fleet.modelIndex(name)));
        boolean hasAddedMemory = false;
        for (UpstreamId upstream : change.upstreams()) {
            for (ModelVersion version : last.assignment(upstream).models()) {
                mark(affected, fleet.modelIndex(version.name()));
            }
            int engine = fleet.engineIndex(upstream);
            hasAddedMemory |= engine >= 0 && fleet.usable[engine];
        }
        for (int model = 0; model < affected.length; model++) {
            int minimum = hasAddedMemory ? fleet.desiredCopies[model] : 1;
            affected[model] |= draft.copies(model) < minimum;
        }
        return IntStream.range(0, affected.length)
                .filter(model -> affected[model])
                .toArray();
    }

    private static void mark(boolean[] flags, int index) {
        if (index >= 0) {
            flags[index] = true;
        }
    }

    private void complete(IndexedFleet fleet, PlanDraft draft, boolean packing, Comparator<Integer> requiredOrder) {
        CopyPlacer placer = new CopyPlacer(fleet, draft, packing);
        placer.place(IntStream.range(0, fleet.models.size()).toArray(), requiredOrder);
        if (policy.hasHysteresis()) {
            placer.rebalance();
        }
        placer.placeAdapters();
    }

    private PlanDraft packedDraft(IndexedFleet fleet, Comparator<Integer> requiredOrder) {
        PlanDraft draft = new PlanDraft(fleet);
        draft.addOnlyReadyCopies();
        complete(fleet, draft, true, requiredOrder);
        return draft;
    }

    private static PlanDraft betterDraft(IndexedFleet fleet, PlanDraft first, PlanDraft second) {
        return countUnplacedModels(fleet, second) < countUnplacedModels(fleet, first) ? second : first;
    }

    private static long countUnplacedModels(IndexedFleet fleet, PlanDraft draft) {
        return IntStream.range(0, fleet.models.size())
                .filter(model -> draft.copies(model) == 0)
                .count();
    }

    private static void report(IndexedFleet fleet, PlanDraft draft, Findings findings) {
        for (int index = 0; index < fleet.models.size(); index++) {
            Model model = fleet.models.get(index);
            int copies = draft.copies(index);
            String place = "models/" + model.name();
            if (copies == 0) {
                findings.error(place, "no engine has " + model.memoryMegabytes() + " MB left for a copy");
            } else if (draft.lacksMemoryForNewVersion(index)) {
                findings.error(
                        place,
                        "version '" + model.version() + "' fits neither beside the only ready copy nor on another"
                                + " engine");
            } else if (copies < model.minimumCopies()) {
                findings.warning(
                        place, "only " + copies + " of at least " + model.minimumCopies() + " copies fit in memory");
            } else if (isInOneDomain(fleet, draft, index)) {
                findings.warning(place, "all " + copies + " copies are in one failure domain");
            }
        }
        for (int index = 0; index < fleet.adapters.size(); index++) {
            Adapter adapter = fleet.adapters.get(index);
            String place = "adapters/" + adapter.name();
            if (draft.enginesOfAdapter(index).size() == 0) {
                findings.error(
                        place,
                        "no engine with model '" + adapter.model() + "' has " + adapter.memoryMegabytes() + " MB left");
            } else if (draft.blocksNewVersion(index)) {
                findings.error(
                        place,
                        "model '" + adapter.model()
                                + "' cannot change its version, because no other engine with it has "
                                + adapter.memoryMegabytes() + " MB left");
            }
        }
    }

    private static boolean isInOneDomain(IndexedFleet fleet, PlanDraft draft, int model) {
        if (fleet.domainCount == 1) {
            return false;
        }
        int domain = fleet.domainOf[draft.enginesOf(model).get(0)];
        return draft.copiesInDomain(model, domain) == draft.copies(model);
    }
}
