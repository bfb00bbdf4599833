package io.oleandermoor.state.placement;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.EngineListing;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.memory.Residency;
import io.oleandermoor.state.memory.Weights;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet state whose engines, models, adapters and failure domains are identified by array indexes. Engines, models
 * and adapters are indexed in the order of their names.
 */
final class IndexedFleet {
    final PlacementSettings settings;
    final PlacementPolicy policy;
    final List<EngineState> engines;
    final List<Model> models;
    final List<Adapter> adapters;

    /** For each engine: the index of its failure domain. */
    final int[] domainOf;

    final int domainCount;

    /** For each engine: whether copies can be assigned to it. */
    final boolean[] usable;

    /** For each model: its adapters. */
    final int[][] adaptersOf;

    /** For each adapter: its base model, or -1 if that is not configured. */
    final int[] baseOf;

    /** For each model: the demand to plan for, in tokens/s. */
    final double[] demand;

    /** For each model: the target number of copies. */
    final int[] targetCopies;

    /** For each model: the number of copies that are not evicted to serve the demand for other models. */
    final int[] retainedCopies;

    /** For each model: the number of copies that are placed before any copy for demand. */
    final int[] desiredCopies;

    /** For each engine: models that are ready in any version, sorted. */
    final int[][] readyModelsOn;

    /** For each engine: adapters that are ready in any version, sorted. */
    final int[][] readyAdaptersOn;

    /** For each model: the number of ready copies on usable engines. */
    final int[] readyCopies;

    private final Map<UpstreamId, Integer> engineIndex;
    private final Map<ModelName, Integer> modelIndex;
    private final Map<AdapterName, Integer> adapterIndex;

    IndexedFleet(FleetState state, PlacementPolicy policy, PlacementSettings settings) {
        this.settings = settings;
        this.policy = policy;
        engines = state.engines();
        models = state.models();
        adapters = state.adapters();
        engineIndex = new HashMap<>(engines.size() * 2);
        modelIndex = new HashMap<>(models.size() * 2);
        adapterIndex = new HashMap<>(adapters.size() * 2);
        domainOf = new int[engines.size()];
        usable = new boolean[engines.size()];
        domainCount = indexEngines();
        for (int model = 0; model < models.size(); model++) {
            modelIndex.put(models.get(model).name(), model);
        }
        baseOf = new int[adapters.size()];
        adaptersOf = indexAdapters();
        readyModelsOn = new int[engines.size()][];
        readyAdaptersOn = new int[engines.size()][];
        readyCopies = new int[models.size()];
        indexResidents();
        demand = new double[models.size()];
        targetCopies = new int[models.size()];
        retainedCopies = new int[models.size()];
        desiredCopies = new int[models.size()];
        computeTargets(state);
    }

    private int indexEngines() {
        Map<FailureDomain, Integer> indexes = new HashMap<>();
        for (int engine = 0; engine < engines.size(); engine++) {
            EngineState state = engines.get(engine);
            engineIndex.put(state.id(), engine);
            usable[engine] = state.status() == EngineStatus.LIVE;
            Integer index = indexes.get(state.domain());
            if (index == null) {
                index = indexes.size();
                indexes.put(state.domain(), index);
            }
            domainOf[engine] = index;
        }
        return indexes.size();
    }

    private int[][] indexAdapters() {
        int[][] result = new int[models.size()][0];
        for (int adapter = 0; adapter < adapters.size(); adapter++) {
            adapterIndex.put(adapters.get(adapter).name(), adapter);
            int base = modelIndex(adapters.get(adapter).model());
            baseOf[adapter] = base;
            if (base >= 0) {
                result[base] = Arrays.copyOf(result[base], result[base].length + 1);
                result[base][result[base].length - 1] = adapter;
            }
        }
        return result;
    }

    private void indexResidents() {
        for (int engine = 0; engine < engines.size(); engine++) {
            IntList ready = new IntList();
            IntList readyAdapters = new IntList();
            for (EngineListing.Entry resident : engines.get(engine).residents()) {
                if (usable[engine] && resident.residency() == Residency.READY) {
                    addReady(resident.weights(), ready, readyAdapters);
                }
            }
            readyModelsOn[engine] = ready.toSortedArray();
            readyAdaptersOn[engine] = readyAdapters.toSortedArray();
            for (int model : readyModelsOn[engine]) {
                readyCopies[model]++;
            }
        }
    }

    private void addReady(Weights weights, IntList ready, IntList readyAdapters) {
        boolean isModel = weights instanceof ModelVersion;
        int index = weights instanceof ModelVersion version
                ? modelIndex(version.name())
                : adapterIndex(((AdapterVersion) weights).name());
        IntList list = isModel ? ready : readyAdapters;
        if (index >= 0 && !list.contains(index)) {
            list.add(index);
        }
    }

    private void computeTargets(FleetState state) {
        long memory = 0;
        int usableEngines = 0;
        for (int engine = 0; engine < engines.size(); engine++) {
            memory += usable[engine] ? engines.get(engine).memoryMegabytes() : 0;
            usableEngines += usable[engine] ? 1 : 0;
        }
        long singleCopyMemory =
                models.stream().mapToLong(Model::memoryMegabytes).sum()
                        + adapters.stream().mapToLong(Adapter::memoryMegabytes).sum();
        // Leaves a tenth of the memory free, because it is divided among engines and cannot be filled exactly.
        int uniformCopies =
                singleCopyMemory == 0 ? 0 : (int) Math.min(usableEngines, memory * 9 / 10 / singleCopyMemory);
        for (int model = 0; model < models.size(); model++) {
            demand[model] =
                    policy.planningDemand(state.demandOf(models.get(model).name()));
            int minimum =
                    Math.max(PlacementSettings.DESIRED_COPIES, models.get(model).minimumCopies());
            desiredCopies[model] = Math.min(usableEngines, minimum);
            targetCopies[model] = Math.min(
                    usableEngines,
                    Math.max(desiredCopies[model], policy.targetCopies(demand[model], uniformCopies, settings)));
            int copiesAtReleaseUtilization = settings.copiesFor(demand[model], settings.releaseUtilization());
            retainedCopies[model] = policy.hasHysteresis()
                    ? Math.min(usableEngines, Math.max(targetCopies[model], copiesAtReleaseUtilization))
                    : targetCopies[model];
        }
    }

    int engineIndex(UpstreamId upstream) {
        return engineIndex.getOrDefault(upstream, -1);
    }

    int modelIndex(ModelName name) {
        return modelIndex.getOrDefault(name, -1);
    }

    int adapterIndex(AdapterName name) {
        return adapterIndex.getOrDefault(name, -1);
    }

    long modelMemory(int model) {
        return models.get(model).memoryMegabytes();
    }

    long adapterMemory(int adapter) {
        return adapters.get(adapter).memoryMegabytes();
    }

    boolean isReady(int engine, int model) {
        return contains(readyModelsOn[engine], readyModelsOn[engine].length, model);
    }

    boolean isAdapterReady(int engine, int adapter) {
        return contains(readyAdaptersOn[engine], readyAdaptersOn[engine].length, adapter);
    }

    /** Returns whether the configured version of a model is ready or being loaded on an engine. */
    boolean hasConfiguredVersion(int engine, int model) {
        ModelVersion configured = ModelVersion.of(models.get(model));
        return engines.get(engine).residents().stream()
                .anyMatch(resident ->
                        resident.weights().equals(configured) && resident.residency() != Residency.UNLOADING);
    }

    static boolean contains(int[] array, int length, int value) {
        for (int index = 0; index < length; index++) {
            if (array[index] == value) {
                return true;
            }
        }
        return false;
    }
}
