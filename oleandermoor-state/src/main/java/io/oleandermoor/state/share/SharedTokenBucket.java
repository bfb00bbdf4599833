package io.oleandermoor.state.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One team's token bucket, of which every entry keeps a copy. Each entry tells the others how many tokens it has
 * granted since its start; what they granted is taken from the copy here. An entry that has not been heard for a while
 * may be granting without knowing of the others, so its equal part of the rate is set aside until it is heard again or
 * is no longer a member. The copies then never grant more than the rate together, and two entries that lose each other
 * overspend by what is in the bucket at most.
 *
 * <p>A new bucket is empty: what an entry of the same name granted before it was killed may have used up the burst.
 *
 * <p>Not safe for use by several threads.
 */
public final class SharedTokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokensPerMilli;
    private double burst;
    private double level;
    private long refilledMillis;
    private long grantedTokens;
    private final Map<String, Long> peerGrants = new HashMap<>();
    private final Map<String, Double> reservedTokens = new HashMap<>();

    /**
     * Creates an empty bucket.
     *
     * @param ratePerSecond the tokens that are added each second
     * @param burst the largest level
     * @param nowMillis the time
     */
    public SharedTokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.refilledMillis = nowMillis;
        this.tokensPerMilli = ratePerSecond / MILLIS_PER_SECOND;
        this.burst = burst;
    }

    /** Replaces rate and burst; a lower burst takes effect at once. */
    public void configure(double ratePerSecond, double newBurst) {
        tokensPerMilli = ratePerSecond / MILLIS_PER_SECOND;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /**
     * Adds what has accrued.
     *
     * @param nowMillis the time
     * @param silent the members that have not been heard lately
     * @param members the number of members, this one included
     */
    public void refill(long nowMillis, Collection<String> silent, int members) {
        double accrued = tokensPerMilli * Math.max(0, nowMillis - refilledMillis);
        refilledMillis = Math.max(refilledMillis, nowMillis);
        double part = accrued / Math.max(1, members);
        for (String peer : silent) {
            if (!reservedTokens.containsKey(peer)) {
                // The silent entry may spend its part of the burst as well.
                level -= Math.max(0, level) / Math.max(1, members);
            }
            reservedTokens.merge(peer, part, Double::sum);
            accrued -= part;
        }
        reservedTokens.keySet().retainAll(silent);
        level = Math.min(burst, level + Math.max(0, accrued));
    }

    /** Takes tokens if they are there. */
    public boolean tryConsume(long tokens) {
        if (level < tokens) {
            return false;
        }
        level -= tokens;
        grantedTokens += tokens;
        return true;
    }

    /** Returns tokens of a request that did not run. */
    public void refund(long tokens) {
        level = Math.min(burst, level + tokens);
        grantedTokens -= tokens;
    }

    /**
     * Takes over what another entry has granted.
     *
     * @param peer the entry
     * @param total the tokens that it has granted since its start
     * @param restarted whether the entry has started anew since its last report
     * @param older whether it started before this bucket was created; what it granted earlier is not counted then, as
     *     the bucket began empty
     */
    public void recordPeerGrants(String peer, long total, boolean restarted, boolean older) {
        Long known = peerGrants.put(peer, total);
        @Nullable Long before = restarted ? null : known;
        double difference = total - (before == null ? (older ? total : 0) : before);
        double reserved = reservedTokens.getOrDefault(peer, 0.0);
        level = Math.min(burst, level - (difference > 0 ? Math.max(0, difference - reserved) : difference));
        reservedTokens.remove(peer);
    }

    /**
     * Ceases to set tokens aside for entries that are no longer members. What they have granted is kept: an entry that
     * loses its registration may still be heard, and comes back with the count that it had.
     */
    public void retainMembers(Collection<String> members) {
        reservedTokens.keySet().retainAll(members);
    }

    /**
     * Adds what accrued before this bucket was created, in which no entry can have granted anything.
     *
     * @param millis the time for which all entries were down
     */
    public void refillForDowntime(long millis) {
        level = Math.min(burst, level + tokensPerMilli * Math.max(0, millis));
    }

    /** Returns the tokens that this entry has granted since its start, less those given back. */
    public long grantedTokens() {
        return grantedTokens;
    }

    /** Returns the tokens in the bucket; negative if more was granted than was there. */
    public double level() {
        return level;
    }

    /** Returns the time until a number of tokens is there, if nobody else takes any. */
    public long millisUntilAvailable(long tokens) {
        return tokensPerMilli <= 0 ? Long.MAX_VALUE : (long) Math.max(0, Math.ceil((tokens - level) / tokensPerMilli));
    }
}
