package io.oleandermoor.gateway.order;

import io.oleandermoor.gateway.standin.CallFault;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws what happens to the calls of a store from rates that apply for a while. */
final class CallDisturbance implements Supplier<CallFault> {

    private static final int MINIMUM_EXECUTION_DELAY_MILLIS = 1_000;
    private static final int MAXIMUM_EXECUTION_DELAY_MILLIS = 6_000;
    private static final int MAXIMUM_ANSWER_DELAY_MILLIS = 1_500;
    /** Longer than callers wait for an answer. */
    private static final int SILENCE_MILLIS = 1_200;

    private final UniformRandomProvider random;
    private Rate lost = Rate.NONE;
    private Rate delayed = Rate.NONE;
    private Rate slow = Rate.NONE;

    private record Rate(double share, long endNanos) {

        static final Rate NONE = new Rate(0, 0);

        static Rate during(double share, Duration duration) {
            return new Rate(share, System.nanoTime() + duration.toNanos());
        }

        boolean applies(UniformRandomProvider random) {
            return random.nextDouble() < share && System.nanoTime() - endNanos < 0;
        }
    }

    CallDisturbance(UniformRandomProvider random) {
        this.random = random;
    }

    synchronized void loseAnswers(double share, Duration duration) {
        lost = Rate.during(share, duration);
    }

    synchronized void delayExecution(double share, Duration duration) {
        delayed = Rate.during(share, duration);
    }

    synchronized void delayAnswers(double share, Duration duration) {
        slow = Rate.during(share, duration);
    }

    synchronized void end() {
        lost = Rate.NONE;
        delayed = Rate.NONE;
        slow = Rate.NONE;
    }

    @Override
    public synchronized CallFault get() {
        if (delayed.applies(random)) {
            return new CallFault(
                    random.nextInt(MINIMUM_EXECUTION_DELAY_MILLIS, MAXIMUM_EXECUTION_DELAY_MILLIS), 0, false);
        }
        if (lost.applies(random)) {
            return new CallFault(0, random.nextBoolean() ? SILENCE_MILLIS : 0, true);
        }
        return slow.applies(random)
                ? new CallFault(0, random.nextInt(MAXIMUM_ANSWER_DELAY_MILLIS), false)
                : CallFault.NONE;
    }
}
