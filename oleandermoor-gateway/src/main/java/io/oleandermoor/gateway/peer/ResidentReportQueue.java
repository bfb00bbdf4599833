package io.oleandermoor.gateway.peer;

import io.oleandermoor.protocol.message.EngineResidents;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queue of reports on the models and adapters that engines hold. Reports are returned in parts of bounded size: those
 * of changed engines once, and those of all engines repeatedly in round-robin order, which compensates for lost
 * datagrams. Used on the event loop only.
 */
final class ResidentReportQueue {

    private final int maximumPartBytes;
    /** Reports by instance id in round-robin order; the most recently returned ones are at the end. */
    private final Map<String, EngineResidents> engines = new LinkedHashMap<>();

    private final Set<String> pendingChanges = new LinkedHashSet<>();

    /**
     * Creates an empty queue.
     *
     * @param maximumPartBytes the maximum size of a part that holds more than one engine
     */
    ResidentReportQueue(int maximumPartBytes) {
        this.maximumPartBytes = maximumPartBytes;
    }

    /** Replaces the report on an engine and queues it as a change. */
    void update(EngineResidents engine) {
        engines.put(engine.getInstance(), engine);
        pendingChanges.add(engine.getInstance());
    }

    boolean hasChanges() {
        return !pendingChanges.isEmpty();
    }

    /** Removes the reports on all engines except those whose instance id matches. */
    void retain(Predicate<String> known) {
        engines.keySet().removeIf(known.negate());
        pendingChanges.retainAll(engines.keySet());
    }

    void clear() {
        engines.clear();
        pendingChanges.clear();
    }

    /** Removes and returns pending changes, as many as one part holds. */
    List<EngineResidents> pollChanges() {
        List<EngineResidents> part = collectPart(pendingChanges);
        part.forEach(engine -> pendingChanges.remove(engine.getInstance()));
        return part;
    }

    /** Returns the next reports in round-robin order, as many as one part holds. */
    List<EngineResidents> nextRoundRobin() {
        List<EngineResidents> part = collectPart(engines.keySet());
        for (EngineResidents engine : part) {
            engines.remove(engine.getInstance());
            engines.put(engine.getInstance(), engine);
        }
        return part;
    }

    private List<EngineResidents> collectPart(Set<String> ids) {
        List<EngineResidents> part = new ArrayList<>();
        int bytes = 0;
        for (String id : ids) {
            EngineResidents engine = engines.get(id);
            if (engine == null || (bytes > 0 && bytes + engine.getSerializedSize() > maximumPartBytes)) {
                break;
            }
            bytes += engine.getSerializedSize();
            part.add(engine);
        }
        return part;
    }
}
