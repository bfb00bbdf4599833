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
 * Computes plans. The same input gives the same plan. Immutable and safe for use by several threads.
 *
 * <p>A plan never holds more on an upstream than its memory. It gives up a ready copy only while another wanted copy of
 * the model is ready, so that each change of a plan can be executed at once, without two models waiting for each
 * other's memory. The exception is a full plan in which a model would find no place otherwise: it packs the engines
 * again and keeps only copies that are the only ready ones of their model.
 */
public final class PlacementPlanner {
    private final PlacementPolicy policy;
    private final PlacementSettings settings;

    /**
     * Creates a planner.
     *
     * @param policy how many copies to plan
     * @param settings assumptions and thresholds
     */
    public PlacementPlanner(PlacementPolicy policy, PlacementSettings settings) {
        this.policy = policy;
        this.settings = settings;
    }

    /**
     * Computes a plan for all models.
     *
     * @param state the fleet
     * @param last the plan in force; empty if there is none
     * @param version the position of the new plan
     * @param findings receives what could not be placed
     * @return the plan, with as much as possible placed
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
     * Computes a plan from the last one by placing again only the models that a change concerns. Moves no other copies
     * except surplus ones, whose memory it may use.
     *
     * @param state the fleet after the change
     * @param last the plan in force
     * @param change what differs from the state that {@code last} was computed for
     * @param version the position of the new plan
     * @param findings receives what could not be placed
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
        boolean[] concerned = new boolean[fleet.models.size()];
        change.models().forEach(name -> mark(concerned, fleet.modelIndex(name)));
        boolean memoryAdded = false;
        for (UpstreamId upstream : change.upstreams()) {
            for (ModelVersion version : last.assignment(upstream).models()) {
                mark(concerned, fleet.modelIndex(version.name()));
            }
            int engine = fleet.engineIndex(upstream);
            memoryAdded |= engine >= 0 && fleet.usable[engine];
        }
        for (int model = 0; model < concerned.length; model++) {
            int wanted = memoryAdded ? fleet.desiredCopies[model] : 1;
            concerned[model] |= draft.copies(model) < wanted;
        }
        return IntStream.range(0, concerned.length)
                .filter(model -> concerned[model])
                .toArray();
    }

    private static void mark(boolean[] marks, int index) {
        if (index >= 0) {
            marks[index] = true;
        }
    }

    private void complete(IndexedFleet fleet, PlanDraft draft, boolean packs, Comparator<Integer> firstOrder) {
        CopyPlacer placer = new CopyPlacer(fleet, draft, packs);
        placer.place(IntStream.range(0, fleet.models.size()).toArray(), firstOrder);
        if (policy.hasHysteresis()) {
            placer.rebalance();
        }
        placer.placeAdapters();
    }

    private PlanDraft packedDraft(IndexedFleet fleet, Comparator<Integer> firstOrder) {
        PlanDraft draft = new PlanDraft(fleet);
        draft.addOnlyReadyCopies();
        complete(fleet, draft, true, firstOrder);
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
            } else if (draft.lacksRoomForNewVersion(index)) {
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
        int first = fleet.domainOf[draft.enginesOf(model).get(0)];
        return draft.copiesInDomain(model, first) == draft.copies(model);
    }
}
