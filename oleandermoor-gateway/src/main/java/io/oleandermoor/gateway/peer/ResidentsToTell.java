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
final class ResidentsToTell {

    private final int partBytes;
    /** In the order in which they are told again; the one that was told last is at the end. */
    private final Map<String, EngineResidents> engines = new LinkedHashMap<>();

    private final Set<String> changed = new LinkedHashSet<>();

    /**
     * Creates an empty record.
     *
     * @param partBytes the largest size of a part that holds more than one engine
     */
    ResidentsToTell(int partBytes) {
        this.partBytes = partBytes;
    }

    /** Notes that what an engine holds has changed. */
    void changed(EngineResidents engine) {
        engines.put(engine.getInstance(), engine);
        changed.add(engine.getInstance());
    }

    boolean hasChanges() {
        return !changed.isEmpty();
    }

    /** Forgets all engines but those that match. */
    void retain(Predicate<String> known) {
        engines.keySet().removeIf(known.negate());
        changed.retainAll(engines.keySet());
    }

    void clear() {
        engines.clear();
        changed.clear();
    }

    /** Returns engines that have changed and were not told since, as many as one part holds. */
    List<EngineResidents> nextChanges() {
        List<EngineResidents> part = part(changed);
        part.forEach(engine -> changed.remove(engine.getInstance()));
        return part;
    }

    /** Returns engines whose turn it is to be told again, as many as one part holds. */
    List<EngineResidents> nextInTurn() {
        List<EngineResidents> part = part(engines.keySet());
        for (EngineResidents engine : part) {
            engines.remove(engine.getInstance());
            engines.put(engine.getInstance(), engine);
        }
        return part;
    }

    private List<EngineResidents> part(Set<String> inTurn) {
        List<EngineResidents> part = new ArrayList<>();
        int bytes = 0;
        for (String id : inTurn) {
            EngineResidents engine = engines.get(id);
            if (engine == null || (bytes > 0 && bytes + engine.getSerializedSize() > partBytes)) {
                break;
            }
            bytes += engine.getSerializedSize();
            part.add(engine);
        }
        return part;
    }
}
