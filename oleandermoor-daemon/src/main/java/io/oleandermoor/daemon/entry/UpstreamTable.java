package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.Item;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The upstreams that are ready for each model, adapter and service. Safe for use by several threads. */
final class UpstreamTable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Entry> byInstance = new HashMap<>();

    private volatile Map<String, List<UpstreamDescription>> byTarget = Map.of();

    /** Takes in an item; an older version than the known one is ignored. */
    synchronized void accept(Item item) throws IOException {
        Entry known = byInstance.get(item.getName());
        if (known != null && known.version >= item.getVersion()) {
            return;
        }
        UpstreamDescription description = MAPPER.readValue(item.getContent().toByteArray(), UpstreamDescription.class);
        byInstance.put(item.getName(), new Entry(item.getVersion(), description));
        Map<String, List<UpstreamDescription>> next = new HashMap<>();
        for (Entry entry : byInstance.values()) {
            if (!entry.description.leaving()) {
                for (String target : entry.description.targets()) {
                    next.computeIfAbsent(target, key -> new ArrayList<>()).add(entry.description);
                }
            }
        }
        byTarget = next;
    }

    List<UpstreamDescription> candidates(String target) {
        return byTarget.getOrDefault(target, List.of());
    }

    private record Entry(long version, UpstreamDescription description) {}
}
