package io.oleandermoor.gateway.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/** The orders of all machines of a world. Orders may be added on any thread. */
final class OrderHistory {

    private final Queue<Order> orders = new ConcurrentLinkedQueue<>();
    private final long startNanos = System.nanoTime();

    /**
     * An order.
     *
     * @param machine the name of the machine that gave it
     * @param token its fencing token
     * @param nanos its time on the monotonic clock, in nanoseconds
     */
    private record Order(String machine, long token, long nanos) {}

    /** Two orders in turn of different machines. */
    private record HandOver(Order last, Order first) {

        long gapMillis() {
            return TimeUnit.NANOSECONDS.toMillis(first.nanos() - last.nanos());
        }
    }

    void add(String machine, long token) {
        orders.add(new Order(machine, token, System.nanoTime()));
    }

    int size() {
        return orders.size();
    }

    boolean hasOrderSince(long nanos) {
        return orders.stream().anyMatch(order -> order.nanos() - nanos >= 0);
    }

    /** Returns the gaps between the last order of one machine and the first of the next, in milliseconds. */
    LongStream gapsMillis() {
        return handOvers().stream().mapToLong(HandOver::gapMillis);
    }

    /** Returns what breaks the rules of the hand-over. */
    List<String> violations(long minimumGapMillis) {
        List<String> violations = new ArrayList<>();
        for (HandOver handOver : handOvers()) {
            if (handOver.gapMillis() < minimumGapMillis) {
                violations.add("gap of " + handOver.gapMillis() + " ms: " + describe(handOver));
            }
        }
        List<Order> sorted = sorted();
        Map<Long, String> machines = new HashMap<>();
        for (int index = 1; index < sorted.size(); index++) {
            HandOver pair = new HandOver(sorted.get(index - 1), sorted.get(index));
            if (pair.first().token() < pair.last().token()) {
                violations.add("lower token: " + describe(pair));
            }
        }
        for (Order order : sorted) {
            String machine = machines.putIfAbsent(order.token(), order.machine());
            if (machine != null && !machine.equals(order.machine())) {
                violations.add("token of " + machine + " used by " + describe(order));
            }
        }
        return violations;
    }

    private List<HandOver> handOvers() {
        List<Order> sorted = sorted();
        List<HandOver> handOvers = new ArrayList<>();
        for (int index = 1; index < sorted.size(); index++) {
            HandOver pair = new HandOver(sorted.get(index - 1), sorted.get(index));
            if (!pair.last().machine().equals(pair.first().machine())) {
                handOvers.add(pair);
            }
        }
        return handOvers;
    }

    private List<Order> sorted() {
        return orders.stream()
                .sorted(Comparator.comparingLong(order -> order.nanos() - startNanos))
                .toList();
    }

    private String describe(HandOver handOver) {
        return describe(handOver.last()) + ", then " + describe(handOver.first());
    }

    private String describe(Order order) {
        long millis = TimeUnit.NANOSECONDS.toMillis(order.nanos() - startNanos);
        return order.machine() + " with token " + order.token() + " at " + millis + " ms";
    }
}
