package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Simulates upstreams with slots, a queue and a bounded prefix cache, whose load reports reach the routers late. */
final class SimulatedFleet {

    static final ModelName MODEL = new ModelName("m");
    static final FailureDomain HOME = new FailureDomain("a");
    static final int SLOTS = 8;

    final List<Router> routers = new ArrayList<>();
    final List<RoutingTable> tables = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final long reportIntervalMillis;
    private final long reportLagMillis;
    int maximumQueueLength;
    int cacheHits;
    int requestedBlocks;

    static final class Node {
        final UpstreamId id;
        final PriorityQueue<Long> completionTimesMillis = new PriorityQueue<>();
        final LinkedHashSet<Long> cachedHashes = new LinkedHashSet<>();
        int startedRequests;

        Node(String id) {
            this.id = new UpstreamId(id);
        }
    }

    SimulatedFleet(RoutingPolicy policy, int entries, int upstreams, long reportIntervalMillis, long reportLagMillis) {
        this.reportIntervalMillis = reportIntervalMillis;
        this.reportLagMillis = reportLagMillis;
        for (int index = 0; index < upstreams; index++) {
            nodes.add(new Node("u" + index));
        }
        for (int entry = 0; entry < entries; entry++) {
            RoutingTable table = new RoutingTable();
            nodes.forEach(node -> table.update(record(node.id, 1, 1, UpstreamStatus.READY), -60_000));
            tables.add(table);
            routers.add(new Router(table, RoutingSettings.defaults(policy)));
        }
    }

    static UpstreamRecord record(UpstreamId id, long incarnation, long sequence, UpstreamStatus status) {
        return new UpstreamRecord(id, HOME, incarnation, sequence, status, Set.of(new RouteTarget.OfModel(MODEL)));
    }

    void reportLoad(long nowMillis) {
        if (nowMillis % reportIntervalMillis != 0) {
            return;
        }
        long measuredAt = nowMillis - reportLagMillis;
        for (Node node : nodes) {
            node.completionTimesMillis.removeIf(end -> end <= nowMillis);
            int outstanding = node.completionTimesMillis.size();
            UpstreamLoad load = new UpstreamLoad(
                    Math.min(SLOTS, outstanding), Math.max(0, outstanding - SLOTS), SLOTS, 0, measuredAt);
            tables.forEach(table -> table.updateLoad(node.id, 1, load));
        }
    }

    void sendRequest(int entry, PromptPrefix prefix, long serviceMillis, long nowMillis, UniformRandomProvider random) {
        Router router = routers.get(entry);
        RouteQuery query = RouteQuery.forModel(MODEL, HOME).withPrefix(prefix);
        RouteChoice choice = router.choose(query, nowMillis, random).orElseThrow();
        router.recordSend(choice, prefix, nowMillis);
        Node node = nodes.stream()
                .filter(candidate -> candidate.id.equals(choice.upstream()))
                .findFirst()
                .orElseThrow();
        node.completionTimesMillis.removeIf(end -> end <= nowMillis);
        long start = nowMillis;
        if (node.completionTimesMillis.size() >= SLOTS) {
            List<Long> sorted = node.completionTimesMillis.stream().sorted().toList();
            start = sorted.get(sorted.size() - SLOTS);
        }
        node.completionTimesMillis.add(start + serviceMillis);
        node.startedRequests++;
        maximumQueueLength = Math.max(maximumQueueLength, node.completionTimesMillis.size() - SLOTS);
        for (int block = 0; block < prefix.blockCount(); block++) {
            requestedBlocks++;
            if (node.cachedHashes.remove(prefix.hash(block))) {
                cacheHits++;
            }
            node.cachedHashes.add(prefix.hash(block));
            if (node.cachedHashes.size() > 400) {
                node.cachedHashes.remove(node.cachedHashes.iterator().next());
            }
        }
    }
}
