package io.oleandermoor.state.routing;

import io.oleandermoor.state.identity.FailureDomain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The ready copies of one target. The arrays are not modified after construction. */
final class CopyGroup {

    private static final ReadyCopy[] NO_COPIES = {};

    final ReadyCopy[] all;
    final AtomicInteger roundRobinCursor;
    private final Map<FailureDomain, ReadyCopy[]> byDomain;

    CopyGroup(List<ReadyCopy> copies, AtomicInteger roundRobinCursor) {
        this.all = copies.toArray(NO_COPIES);
        this.roundRobinCursor = roundRobinCursor;
        Map<FailureDomain, List<ReadyCopy>> lists = new HashMap<>();
        for (ReadyCopy copy : all) {
            lists.computeIfAbsent(copy.upstream.failureDomain, domain -> new ArrayList<>())
                    .add(copy);
        }
        Map<FailureDomain, ReadyCopy[]> arrays = new HashMap<>();
        lists.forEach((domain, list) -> arrays.put(domain, list.toArray(NO_COPIES)));
        this.byDomain = arrays;
    }

    ReadyCopy[] inDomain(FailureDomain domain) {
        return byDomain.getOrDefault(domain, NO_COPIES);
    }

    CopyGroup with(ReadyCopy copy) {
        List<ReadyCopy> copies = new ArrayList<>(List.of(all));
        copies.add(copy);
        return new CopyGroup(copies, roundRobinCursor);
    }

    CopyGroup without(ReadyCopy copy) {
        List<ReadyCopy> copies = new ArrayList<>(List.of(all));
        copies.removeIf(candidate -> candidate == copy);
        return new CopyGroup(copies, roundRobinCursor);
    }

    int ejectedCount(long nowMillis) {
        int count = 0;
        for (ReadyCopy copy : all) {
            if (nowMillis < copy.upstream.ejectedUntilMillis) {
                count++;
            }
        }
        return count;
    }
}
