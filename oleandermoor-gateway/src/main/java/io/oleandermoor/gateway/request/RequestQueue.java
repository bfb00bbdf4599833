package io.oleandermoor.gateway.request;

import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.dispatch.QueueOrder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Queues requests that wait for an instance. Used on the event loop only. */
final class RequestQueue {

    private final QueueOrder order;
    private final Set<RequestExchange> requests = new LinkedHashSet<>();

    RequestQueue(QueueOrder order) {
        this.order = order;
    }

    void add(RequestExchange exchange) {
        requests.add(exchange);
    }

    void remove(RequestExchange exchange) {
        requests.remove(exchange);
    }

    /** Tries to dispatch each queued request; skips those that require what an earlier request could not get. */
    void dispatchWaiting() {
        if (requests.isEmpty()) {
            return;
        }
        List<RequestExchange> snapshot = new ArrayList<>(requests);
        snapshot.sort(Comparator.comparing(RequestExchange::position, currentOrder()));
        Map<String, Boolean> blocked = new HashMap<>();
        for (RequestExchange exchange : snapshot) {
            String requirement = exchange.requirementKey();
            if (requests.contains(exchange) && !blocked.containsKey(requirement) && !exchange.tryDispatch()) {
                blocked.put(requirement, true);
            }
        }
    }

    /** Refuses all queued requests, because this process is about to stop. */
    void rejectAll() {
        new ArrayList<>(requests).forEach(RequestExchange::rejectOnShutdown);
    }

    /** Returns the number of queued requests that compete for the same capacity and come before the given request. */
    int countAhead(RequestExchange exchange) {
        Comparator<QueueOrder.Position> currentOrder = currentOrder();
        int count = 0;
        for (RequestExchange each : requests) {
            if (each.waitsForCapacity()
                    && each.capacityKey().equals(exchange.capacityKey())
                    && currentOrder.compare(each.position(), exchange.position()) < 0) {
                count++;
            }
        }
        return count;
    }

    private Comparator<QueueOrder.Position> currentOrder() {
        return order.comparator(Timestamp.monotonicNowMillis());
    }

    /** Counts the queued requests by target, without those whose load can start later and still be in time. */
    Map<ModelTarget, Integer> immediateDemandByTarget() {
        Map<ModelTarget, Integer> counts = new HashMap<>();
        for (RequestExchange exchange : requests) {
            if (!exchange.isDemandImmediate()) {
                continue;
            }
            exchange.target().ifPresent(target -> counts.merge(target, 1, Integer::sum));
        }
        return counts;
    }

    int size() {
        return requests.size();
    }
}
