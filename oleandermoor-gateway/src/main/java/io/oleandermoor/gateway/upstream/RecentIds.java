package io.oleandermoor.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** The ids of the last requests of a connection, a bounded number of them. Not thread-safe. */
final class RecentIds {

    private static final int MAXIMUM_IDS = 64;

    private final Deque<String> order = new ArrayDeque<>();
    private final Set<String> ids = new HashSet<>();

    void add(String id) {
        if (!ids.add(id)) {
            return;
        }
        order.addLast(id);
        if (order.size() > MAXIMUM_IDS) {
            ids.remove(order.removeFirst());
        }
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
