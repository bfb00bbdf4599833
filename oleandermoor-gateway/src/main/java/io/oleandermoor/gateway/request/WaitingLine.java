package io.oleandermoor.gateway.request;

import io.oleandermoor.state.dispatch.ModelTarget;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The requests that wait for an instance, the most urgent and then the oldest first. Used on the event loop only. */
final class WaitingLine {

    private static final Comparator<Exchange> ORDER =
            Comparator.comparingInt(Exchange::urgency).thenComparingLong(Exchange::number);

    private final TreeSet<Exchange> waiting = new TreeSet<>(ORDER);

    void add(Exchange exchange) {
        waiting.add(exchange);
    }

    void remove(Exchange exchange) {
        waiting.remove(exchange);
    }

    /** Offers each waiting request a place; what cannot get one for want of the same thing is passed over. */
    void offer() {
        if (waiting.isEmpty()) {
            return;
        }
        List<Exchange> round = new ArrayList<>(waiting);
        Map<String, Boolean> blocked = new HashMap<>();
        for (Exchange exchange : round) {
            String need = exchange.need();
            if (waiting.contains(exchange) && !blocked.containsKey(need) && !exchange.offerPlace()) {
                blocked.put(need, true);
            }
        }
    }

    /** Refuses all waiting requests, as this process is about to end. */
    void stopping() {
        new ArrayList<>(waiting).forEach(Exchange::stopping);
    }

    /** Returns the waiting requests that wait for the same places and come before a request. */
    int ahead(Exchange exchange) {
        int ahead = 0;
        for (Exchange each : waiting.headSet(exchange)) {
            if (each.waitsForPlace() && each.places().equals(exchange.places())) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the requests for each target, without those for which a load may begin later and is still in time. */
    Map<ModelTarget, Integer> byTarget() {
        Map<ModelTarget, Integer> counts = new HashMap<>();
        for (Exchange exchange : waiting) {
            if (!exchange.presses()) {
                continue;
            }
            exchange.target().ifPresent(target -> counts.merge(target, 1, Integer::sum));
        }
        return counts;
    }

    int size() {
        return waiting.size();
    }
}
