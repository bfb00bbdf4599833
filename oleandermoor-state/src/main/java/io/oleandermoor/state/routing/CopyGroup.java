package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The ready copies of one target. The arrays are never changed after construction. */
final class CopyGroup {

    private static final Copy[] NONE = {};

    final Copy[] all;
    final AtomicInteger roundRobinCursor;
    private final Map<FailureDomain, Copy[]> byDomain;

    CopyGroup(List<Copy> copies, AtomicInteger roundRobinCursor) {
        this.all = copies.toArray(NONE);
        this.roundRobinCursor = roundRobinCursor;
        Map<FailureDomain, List<Copy>> lists = new HashMap<>();
        for (Copy copy : all) {
            lists.computeIfAbsent(copy.upstream.failureDomain, domain -> new ArrayList<>())
                    .add(copy);
        }
        Map<FailureDomain, Copy[]> arrays = new HashMap<>();
        lists.forEach((domain, list) -> arrays.put(domain, list.toArray(NONE)));
        this.byDomain = arrays;
    }

    Copy[] in(FailureDomain domain) {
        return byDomain.getOrDefault(domain, NONE);
    }

    CopyGroup with(Copy copy) {
        List<Copy> copies = new ArrayList<>(List.of(all));
        copies.add(copy);
        return new CopyGroup(copies, roundRobinCursor);
    }

    CopyGroup without(Copy copy) {
        List<Copy> copies = new ArrayList<>(List.of(all));
        copies.removeIf(candidate -> candidate == copy);
        return new CopyGroup(copies, roundRobinCursor);
    }

    int ejected(long nowMillis) {
        int count = 0;
        for (Copy copy : all) {
            if (nowMillis < copy.upstream.ejectedUntilMillis) {
                count++;
            }
        }
        return count;
    }
}
