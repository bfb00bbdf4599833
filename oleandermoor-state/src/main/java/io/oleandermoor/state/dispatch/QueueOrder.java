package io.oleandermoor.state.dispatch;

import java.util.Comparator;

/** Orders in which queued requests are given the slots that become free. */
public enum QueueOrder {
    /** By urgency, then by arrival. Under sustained overload, all requests of the lowest urgency start too late. */
    ARRIVAL {
        @Override
        public Comparator<Position> comparator(long nowMillis) {
            return BY_URGENCY.thenComparing(BY_ARRIVAL);
        }
    },
    /**
     * By urgency; among requests of the same urgency, those that can still meet their latency target precede those that
     * cannot, each in the order of arrival. This covers overload: a part of the requests starts in time instead of
     * none.
     */
    REACHABLE_TARGET_FIRST {
        @Override
        public Comparator<Position> comparator(long nowMillis) {
            return BY_URGENCY
                    .thenComparing(position -> position.targetMillis() < nowMillis)
                    .thenComparing(BY_ARRIVAL);
        }
    };

    private static final Comparator<Position> BY_URGENCY = Comparator.comparingInt(Position::urgency);
    private static final Comparator<Position> BY_ARRIVAL = Comparator.comparingLong(Position::sequenceNumber);

    /**
     * What determines the place of a request in the queue.
     *
     * @param urgency the urgency, where 0 is the most urgent
     * @param sequenceNumber the number of the request in the order of arrival
     * @param targetMillis the time by which the response has to start to meet the latency target
     */
    public record Position(int urgency, long sequenceNumber, long targetMillis) {}

    /** Returns the order at a time. */
    public abstract Comparator<Position> comparator(long nowMillis);
}
