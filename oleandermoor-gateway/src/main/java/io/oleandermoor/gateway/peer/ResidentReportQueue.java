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
 * What engines hold, cut into parts of a bounded size. Changes are told at once, and everything is told again in turn,
 * so that a lost datagram is made good. Used on the event loop only.
 */
final class ResidentReportQueue {

    private final int maximumPartBytes;
    /** In the order in which they are told again; the one that was told last is at the end. */
    private final Map<String, EngineResidents> engines = new LinkedHashMap<>();

    private final Set<String> pendingChanges = new LinkedHashSet<>();

    /**
     * Creates an empty record.
     *
     * @param partBytes the largest size of a part that holds more than one engine
     */
    ResidentReportQueue(int partBytes) {
        this.maximumPartBytes = partBytes;
    }

    /** Notes that what an engine holds has changed. */
    void update(EngineResidents engine) {
        engines.put(engine.getInstance(), engine);
        pendingChanges.add(engine.getInstance());
    }

    boolean hasChanges() {
        return !pendingChanges.isEmpty();
    }

    /** Forgets all engines but those that match. */
    void retain(Predicate<String> known) {
        engines.keySet().removeIf(known.negate());
        pendingChanges.retainAll(engines.keySet());
    }

    void clear() {
        engines.clear();
        pendingChanges.clear();
    }

    /** Returns engines that have changed and were not told since, as many as one part holds. */
    List<EngineResidents> pollChanges() {
        List<EngineResidents> part = collectPart(pendingChanges);
        part.forEach(engine -> pendingChanges.remove(engine.getInstance()));
        return part;
    }

    /** Returns engines whose turn it is to be told again, as many as one part holds. */
    List<EngineResidents> nextRoundRobin() {
        List<EngineResidents> part = collectPart(engines.keySet());
        for (EngineResidents engine : part) {
            engines.remove(engine.getInstance());
            engines.put(engine.getInstance(), engine);
        }
        return part;
    }

    private List<EngineResidents> collectPart(Set<String> inTurn) {
        List<EngineResidents> part = new ArrayList<>();
        int bytes = 0;
        for (String id : inTurn) {
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
