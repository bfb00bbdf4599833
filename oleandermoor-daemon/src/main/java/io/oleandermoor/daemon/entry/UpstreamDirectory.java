package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.network.PeerNetwork;
import io.oleandermoor.daemon.network.UnreadableItem;
import io.oleandermoor.daemon.network.UpstreamDescription;
import io.oleandermoor.protocol.message.Load;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.placement.EngineStatus;
import io.oleandermoor.state.routing.RoutingTable;
import io.oleandermoor.state.routing.UpstreamLoad;
import io.oleandermoor.transport.peer.PeerConnection;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** What the agents announce about their upstreams, and the connections to them. Safe for use by several threads. */
final class UpstreamDirectory implements AgentDirectory {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<UpstreamId, UpstreamDescription> byUpstream = new ConcurrentHashMap<>();

    private final Map<String, UpstreamDescription> byInstance = new ConcurrentHashMap<>();

    private final Map<UpstreamId, Long> lastConnectedMillis = new ConcurrentHashMap<>();

    private final List<Consumer<UpstreamDescription>> listeners = new CopyOnWriteArrayList<>();

    private final RoutingTable table;

    private final PeerNetwork network;

    private final LongSupplier nowMillis;

    UpstreamDirectory(RoutingTable table, PeerNetwork network, LongSupplier nowMillis) {
        this.table = table;
        this.network = network;
        this.nowMillis = nowMillis;
    }

    /** Takes in an announcement; an older one than the known one is ignored. */
    void accept(String name, long version, byte[] content) {
        UpstreamDescription next;
        try {
            next = MAPPER.readValue(content, UpstreamDescription.class);
        } catch (IOException exception) {
            UnreadableItem.log(name, version, exception);
            return;
        }
        UpstreamId upstream = new UpstreamId(next.upstream());
        UpstreamDescription kept = byUpstream.merge(
                upstream, next, (known, candidate) -> candidate.isNewerThan(known) ? candidate : known);
        if (kept == next) {
            byInstance.put(next.instance(), next);
            table.update(next.toRecord(), nowMillis.getAsLong());
            listeners.forEach(listener -> listener.accept(next));
        }
    }

    /** Takes in the load that a message of an agent carried. */
    void report(PeerConnection connection, Load load) {
        UpstreamDescription description = byInstance.get(connection.remote().instance());
        if (description != null && load.getSlots() > 0) {
            table.updateLoad(
                    new UpstreamId(description.upstream()),
                    description.incarnation(),
                    new UpstreamLoad(
                            load.getRunning(),
                            load.getQueued(),
                            load.getSlots(),
                            load.getExpectedWaitMillis(),
                            nowMillis.getAsLong()));
        }
    }

    void addListener(Consumer<UpstreamDescription> listener) {
        listeners.add(listener);
    }

    /** Returns whether an upstream can be used; it is down when its agent has not been connected for a while. */
    EngineStatus status(UpstreamId upstream, long downMillis) {
        long now = nowMillis.getAsLong();
        UpstreamDescription description = byUpstream.get(upstream);
        if (description == null) {
            return EngineStatus.DOWN;
        }
        if (connection(upstream).isPresent()) {
            lastConnectedMillis.put(upstream, now);
        } else if (now - lastConnectedMillis.computeIfAbsent(upstream, key -> now) > downMillis) {
            return EngineStatus.DOWN;
        }
        return description.leaving() ? EngineStatus.LEAVING : EngineStatus.LIVE;
    }

    /** Returns whether requests can be sent to any upstream. */
    boolean isAnyConnected() {
        return byUpstream.keySet().stream()
                .anyMatch(upstream -> connection(upstream).isPresent());
    }

    @Override
    public Optional<PeerConnection> connection(UpstreamId upstream) {
        return Optional.ofNullable(byUpstream.get(upstream))
                .flatMap(description -> network.connection(description.instance()));
    }
}
