package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The requests that wait for an instance, the most urgent and then the oldest first. Used on the event loop only. */
final class RequestQueue {

    private static final Comparator<RequestExchange> URGENCY_ORDER =
            Comparator.comparingInt(RequestExchange::urgency).thenComparingLong(RequestExchange::sequenceNumber);

    private final TreeSet<RequestExchange> requests = new TreeSet<>(URGENCY_ORDER);

    void add(RequestExchange exchange) {
        requests.add(exchange);
    }

    void remove(RequestExchange exchange) {
        requests.remove(exchange);
    }

    /** Offers each waiting request a place; what cannot get one for want of the same thing is passed over. */
    void dispatchWaiting() {
        if (requests.isEmpty()) {
            return;
        }
        List<RequestExchange> round = new ArrayList<>(requests);
        Map<String, Boolean> blocked = new HashMap<>();
        for (RequestExchange exchange : round) {
            String need = exchange.requirementKey();
            if (requests.contains(exchange) && !blocked.containsKey(need) && !exchange.tryDispatch()) {
                blocked.put(need, true);
            }
        }
    }

    /** Refuses all waiting requests, as this process is about to end. */
    void rejectAll() {
        new ArrayList<>(requests).forEach(RequestExchange::rejectOnShutdown);
    }

    /** Returns the waiting requests that wait for the same places and come before a request. */
    int countAhead(RequestExchange exchange) {
        int ahead = 0;
        for (RequestExchange each : requests.headSet(exchange)) {
            if (each.waitsForCapacity() && each.capacityKey().equals(exchange.capacityKey())) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the requests for each target, without those for which a load may begin later and is still in time. */
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
