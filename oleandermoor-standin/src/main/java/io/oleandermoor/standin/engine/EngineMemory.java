package io.oleandermoor.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What the engine has in memory. Memory is taken when a load starts and freed when an unload ends. */
final class EngineMemory {

    private final EngineSettings settings;

    private final Map<String, Resident> residents = new TreeMap<>();

    private long overcommits;

    private long highestFencingNumber;

    EngineMemory(EngineSettings settings) {
        this.settings = settings;
        settings.models().forEach(model -> residents.put(model, new Resident(model, "1", "READY", Optional.empty())));
        checkCommitted();
    }

    /** Returns whether an order with this fencing number is refused. */
    synchronized boolean isFenced(long fencingNumber) {
        if (settings.fencing() && fencingNumber < highestFencingNumber) {
            return true;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        return false;
    }

    /** Starts a load and returns whether weights have to be read. The engine does not protect its memory. */
    synchronized boolean startLoad(String name, String version, Optional<String> baseModel) {
        Resident present = residents.get(name);
        if (present != null && present.version.equals(version) && !present.state.equals("UNLOADING")) {
            return false;
        }
        residents.put(name, new Resident(name, version, "LOADING", baseModel));
        checkCommitted();
        return true;
    }

    synchronized void finishLoad(String name, String version, boolean loaded) {
        Resident present = residents.get(name);
        if (present == null || !present.version.equals(version) || !present.state.equals("LOADING")) {
            return;
        }
        if (loaded) {
            residents.put(name, new Resident(name, version, "READY", present.baseModel));
        } else {
            residents.remove(name);
        }
    }

    synchronized void unload(String name) {
        residents.remove(name);
        residents
                .values()
                .removeIf(resident -> resident.baseModel.filter(name::equals).isPresent());
    }

    synchronized boolean isReady(String name) {
        Resident resident = residents.get(name);
        return resident != null && resident.state.equals("READY");
    }

    synchronized long usedMegabytes() {
        return residents.keySet().stream().mapToLong(settings::size).sum();
    }

    /** Returns how often more memory was taken than there is. */
    synchronized long overcommits() {
        return overcommits;
    }

    synchronized List<Map<String, Object>> list() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Resident resident : residents.values()) {
            Map<String, Object> entry = new HashMap<>();
            entry.put("name", resident.name);
            entry.put("version", resident.version);
            entry.put("state", resident.state);
            entry.put("adapter", resident.baseModel.isPresent());
            entry.put("megabytes", settings.size(resident.name));
            list.add(entry);
        }
        return list;
    }

    private void checkCommitted() {
        if (usedMegabytes() > settings.memoryMegabytes()) {
            overcommits++;
        }
    }

    private record Resident(String name, String version, String state, Optional<String> baseModel) {}
}
