package io.oleandermoor.state.placement;

import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.placement.PlacementPlan.Assignment;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** A mutable plan under construction. Keeps the assigned copies within the memory of each engine. */
final class PlanDraft {
    private final IndexedFleet fleet;
    private final IntList[] modelsOn;
    private final IntList[] adaptersOn;
    private final IntList[] enginesOf;
    private final IntList[] enginesOfAdapter;
    private final int[][] copiesInDomain;
    private final long[] freeMegabytes;
    private final double[] load;

    PlanDraft(IndexedFleet fleet) {
        this.fleet = fleet;
        int engines = fleet.engines.size();
        modelsOn = emptyLists(engines);
        adaptersOn = emptyLists(engines);
        enginesOf = emptyLists(fleet.models.size());
        enginesOfAdapter = emptyLists(fleet.adapters.size());
        copiesInDomain = new int[fleet.models.size()][fleet.domainCount];
        freeMegabytes = new long[engines];
        load = new double[engines];
        for (int engine = 0; engine < engines; engine++) {
            freeMegabytes[engine] =
                    fleet.usable[engine] ? fleet.engines.get(engine).memoryMegabytes() : 0;
        }
    }

    private static IntList[] emptyLists(int count) {
        IntList[] lists = new IntList[count];
        for (int index = 0; index < count; index++) {
            lists[index] = new IntList();
        }
        return lists;
    }

    /** Adds the ready copy of each model that has only one. Called first, so that no other copy uses its memory. */
    void addOnlyReadyCopies() {
        for (int engine = 0; engine < fleet.readyModelsOn.length; engine++) {
            for (int model : fleet.readyModelsOn[engine]) {
                if (fleet.readyCopies[model] == 1) {
                    addIfItFits(engine, model);
                }
            }
        }
    }

    /** Adds the assignments of a plan that are still configured and fit. */
    void addAssignments(PlacementPlan plan) {
        plan.upstreams().forEach((upstream, assignment) -> {
            int engine = fleet.engineIndex(upstream);
            if (engine < 0 || !fleet.usable[engine]) {
                return;
            }
            for (ModelVersion version : assignment.models()) {
                int model = fleet.modelIndex(version.name());
                if (model >= 0) {
                    addIfItFits(engine, model);
                }
            }
            for (AdapterVersion version : assignment.adapters()) {
                int adapter = fleet.adapterIndex(version.name());
                if (adapter >= 0) {
                    addAdapterIfItFits(engine, adapter);
                }
            }
        });
    }

    /** Adds copies that are resident but not assigned by a plan. */
    void addResidents() {
        for (int engine = 0; engine < fleet.engines.size(); engine++) {
            for (EngineListing.Entry resident : fleet.engines.get(engine).residents()) {
                if (fleet.usable[engine] && resident.residency() != Residency.UNLOADING) {
                    addResident(engine, resident);
                }
            }
        }
    }

    private void addResident(int engine, EngineListing.Entry resident) {
        if (resident.weights() instanceof ModelVersion version) {
            int model = fleet.modelIndex(version.name());
            if (model >= 0) {
                addIfItFits(engine, model);
            }
        } else if (resident.weights() instanceof AdapterVersion version) {
            int adapter = fleet.adapterIndex(version.name());
            if (adapter >= 0) {
                addAdapterIfItFits(engine, adapter);
            }
        }
    }

    private void addIfItFits(int engine, int model) {
        if (fleet.usable[engine]
                && freeMegabytes[engine] >= fleet.modelMemory(model)
                && !modelsOn[engine].contains(model)) {
            add(engine, model);
        }
    }

    /** Returns whether the copy was added. */
    boolean addAdapterIfItFits(int engine, int adapter) {
        if (enginesOfAdapter[adapter].size() >= PlacementSettings.ADAPTER_COPIES
                || adaptersOn[engine].contains(adapter)
                || !modelsOn[engine].contains(fleet.baseOf[adapter])
                || freeMegabytes[engine] < fleet.adapterMemory(adapter)) {
            return false;
        }
        adaptersOn[engine].add(adapter);
        enginesOfAdapter[adapter].add(engine);
        freeMegabytes[engine] -= fleet.adapterMemory(adapter);
        return true;
    }

    void add(int engine, int model) {
        modelsOn[engine].add(model);
        enginesOf[model].add(engine);
        copiesInDomain[model][fleet.domainOf[engine]]++;
        freeMegabytes[engine] -= fleet.modelMemory(model);
        load[engine] += plannedDemandPerCopy(model);
    }

    /** Removes a copy and the adapters on its engine that depend on it. */
    void remove(int engine, int model) {
        modelsOn[engine].remove(model);
        enginesOf[model].remove(engine);
        copiesInDomain[model][fleet.domainOf[engine]]--;
        freeMegabytes[engine] += fleet.modelMemory(model);
        load[engine] -= plannedDemandPerCopy(model);
        for (int adapter : fleet.adaptersOf[model]) {
            if (adaptersOn[engine].contains(adapter)) {
                adaptersOn[engine].remove(adapter);
                enginesOfAdapter[adapter].remove(engine);
                freeMegabytes[engine] += fleet.adapterMemory(adapter);
            }
        }
    }

    /** Returns the demand for each copy once the target number of copies is reached, in tokens/s. */
    double plannedDemandPerCopy(int model) {
        return fleet.demand[model] / Math.max(1, fleet.targetCopies[model]);
    }

    /** Recomputes the load of all engines from the number of copies in the draft instead of the target number. */
    void recomputeLoad() {
        for (int engine = 0; engine < load.length; engine++) {
            load[engine] = 0;
            for (int index = 0; index < modelsOn[engine].size(); index++) {
                int model = modelsOn[engine].get(index);
                load[engine] += fleet.demand[model] / enginesOf[model].size();
            }
        }
    }

    IntList modelsOn(int engine) {
        return modelsOn[engine];
    }

    IntList adaptersOn(int engine) {
        return adaptersOn[engine];
    }

    IntList enginesOf(int model) {
        return enginesOf[model];
    }

    IntList enginesOfAdapter(int adapter) {
        return enginesOfAdapter[adapter];
    }

    int copies(int model) {
        return enginesOf[model].size();
    }

    int copiesInDomain(int model, int domain) {
        return copiesInDomain[model][domain];
    }

    long freeMegabytes(int engine) {
        return freeMegabytes[engine];
    }

    double load(int engine) {
        return load[engine];
    }

    void addLoad(int engine, double tokensPerSecond) {
        load[engine] += tokensPerSecond;
    }

    /**
     * Returns whether the only assigned copy is also the only ready one, has an old version, and leaves too little
     * memory on its engine to load the new version. Such a model needs a second copy before its version can change.
     */
    boolean lacksMemoryForNewVersion(int model) {
        return copies(model) == 1
                && fleet.readyCopies[model] == 1
                && mustReplaceVersion(enginesOf[model].get(0), model);
    }

    /**
     * Returns whether the only copy of an adapter depends on a model copy of an old version that has to be unloaded
     * before the new version fits. Such an adapter needs a second copy first.
     */
    boolean blocksNewVersion(int adapter) {
        if (enginesOfAdapter[adapter].size() != 1) {
            return false;
        }
        int engine = enginesOfAdapter[adapter].get(0);
        return fleet.isAdapterReady(engine, adapter) && mustReplaceVersion(engine, fleet.baseOf[adapter]);
    }

    private boolean mustReplaceVersion(int engine, int model) {
        return fleet.isReady(engine, model)
                && !fleet.hasConfiguredVersion(engine, model)
                && fleet.engines.get(engine).freeMegabytes() < fleet.modelMemory(model);
    }

    /** Returns the assignment of each usable engine. */
    SortedMap<UpstreamId, Assignment> toAssignments() {
        ModelVersion[] models = fleet.models.stream().map(ModelVersion::of).toArray(ModelVersion[]::new);
        AdapterVersion[] adapters =
                fleet.adapters.stream().map(AdapterVersion::of).toArray(AdapterVersion[]::new);
        SortedMap<UpstreamId, Assignment> result = new TreeMap<>();
        for (int engine = 0; engine < modelsOn.length; engine++) {
            if (fleet.usable[engine]) {
                UpstreamId id = fleet.engines.get(engine).id();
                result.put(id, assignment(engine, models, adapters));
            }
        }
        return result;
    }

    private Assignment assignment(int engine, ModelVersion[] models, AdapterVersion[] adapters) {
        List<ModelVersion> assignedModels = new ArrayList<>(modelsOn[engine].size());
        for (int model : modelsOn[engine].toSortedArray()) {
            assignedModels.add(models[model]);
        }
        List<AdapterVersion> assignedAdapters = new ArrayList<>(adaptersOn[engine].size());
        for (int adapter : adaptersOn[engine].toSortedArray()) {
            assignedAdapters.add(adapters[adapter]);
        }
        return new Assignment(assignedModels, assignedAdapters);
    }
}
