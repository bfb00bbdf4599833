package io.oleandermoor.coordination.configuration;

import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when a process reads the configuration at the key-value service itself. The few chosen readers do so each
 * second. All others do so only when peers leave them without news, and less and less often while the service does not
 * answer, so that the calls do not grow with the fleet. Not thread-safe; the caller serializes the calls.
 */
public final class ServiceReadPolicy {

    static final long READER_INTERVAL_MILLIS = 1_000;
    static final long SILENCE_MILLIS = 5_000;

    /** Below the 10 s after which keys are refused, with time for a read. */
    static final long STALE_MILLIS = 7_000;

    static final long LONGEST_PAUSE_MILLIS = 40_000;

    private final UniformRandomProvider random;
    private final boolean needsFreshness;
    private long notBeforeMillis;
    private long pauseMillis = SILENCE_MILLIS;
    private boolean reading;

    /**
     * Creates the policy of a process that starts now.
     *
     * @param random spreads the reads of different processes
     * @param needsFreshness true at an entry, which checks keys; it reads at its start and when its configuration has
     *     not been confirmed for long
     */
    public ServiceReadPolicy(UniformRandomProvider random, boolean needsFreshness) {
        this.random = random;
        this.needsFreshness = needsFreshness;
    }

    /**
     * What a process knows when it decides.
     *
     * @param reader whether this process is chosen to read the service
     * @param lastHeardMillis when the last message of a peer came, or the start of the process
     * @param ageMillis age of the last confirmation, or empty if there was none
     * @param gap whether changes wait for others that no peer has sent
     */
    public record Situation(boolean reader, long lastHeardMillis, OptionalLong ageMillis, boolean gap) {}

    /**
     * Decides whether to read now. A true answer must be followed by {@link #finished}.
     *
     * @param situation what the process knows
     * @param nowMillis the present
     * @return true if the process reads now
     */
    public boolean decide(Situation situation, long nowMillis) {
        if (reading || nowMillis < notBeforeMillis) {
            return false;
        }
        boolean silent = nowMillis - situation.lastHeardMillis() >= SILENCE_MILLIS;
        boolean stale = needsFreshness
                && (situation.ageMillis().isEmpty() || situation.ageMillis().getAsLong() >= STALE_MILLIS);
        if (!situation.reader() && !silent && !stale && !situation.gap()) {
            // A reason that appears later is acted on after a random pause, because it may appear everywhere at once.
            notBeforeMillis = nowMillis + random.nextLong(READER_INTERVAL_MILLIS);
            return false;
        }
        reading = true;
        return true;
    }

    /**
     * Records the end of a read.
     *
     * @param answered whether the service answered
     * @param reader whether this process is chosen to read the service
     * @param nowMillis the present
     */
    public void finished(boolean answered, boolean reader, long nowMillis) {
        reading = false;
        pauseMillis = answered ? SILENCE_MILLIS : Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        notBeforeMillis =
                nowMillis + (reader ? READER_INTERVAL_MILLIS : pauseMillis / 2 + random.nextLong(pauseMillis));
    }
}
