package io.oleandermoor.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time. Actions due at the same time run in the order in which they were added. */
final class Schedule {

    private record Entry(long millis, long order, Runnable action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::millis).thenComparingLong(Entry::order));
    private final Runnable afterEachStep;
    private long order;
    private long nowMillis;

    Schedule(Runnable afterEachStep) {
        this.afterEachStep = afterEachStep;
    }

    long now() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable action) {
        entries.add(new Entry(nowMillis + delayMillis, order++, action));
    }

    void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    /** Runs what is due up to and including the time given. */
    void runUntil(long millis) {
        Entry next = entries.peek();
        while (next != null && next.millis() <= millis) {
            entries.remove();
            nowMillis = next.millis();
            next.action().run();
            afterEachStep.run();
            next = entries.peek();
        }
        nowMillis = millis;
    }
}
