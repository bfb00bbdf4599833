package io.oleandermoor.state.share;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A replica of one team's token bucket; each entry has one. Each entry reports to the others how many tokens it has
 * granted since its start, and they subtract the tokens from their replicas. An entry without recent reports may be
 * granting tokens without receiving the reports of the others. Its equal share of the rate is therefore reserved until
 * it reports again or is no longer a member. Together, the replicas then never grant more than the rate, and two
 * entries that are partitioned from each other exceed it by at most the level of the bucket.
 *
 * <p>A new bucket is empty, because a killed entry of the same name may have granted the whole burst before.
 *
 * <p>Not thread-safe.
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
     * @param ratePerSecond the number of tokens that are added per second
     * @param burst the maximum level
     * @param nowMillis the current time
     */
    public SharedTokenBucket(double ratePerSecond, double burst, long nowMillis) {
        this.refilledMillis = nowMillis;
        this.tokensPerMilli = ratePerSecond / MILLIS_PER_SECOND;
        this.burst = burst;
    }

    /** Replaces the rate and the burst; a lower burst takes effect immediately. */
    public void configure(double ratePerSecond, double newBurst) {
        tokensPerMilli = ratePerSecond / MILLIS_PER_SECOND;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /**
     * Adds the tokens that accrued since the last refill, less the shares reserved for silent members.
     *
     * @param nowMillis the current time
     * @param silent the members without recent reports
     * @param members the number of members, including this entry
     */
    public void refill(long nowMillis, Collection<String> silent, int members) {
        double accrued = tokensPerMilli * Math.max(0, nowMillis - refilledMillis);
        refilledMillis = Math.max(refilledMillis, nowMillis);
        double share = accrued / Math.max(1, members);
        for (String peer : silent) {
            if (!reservedTokens.containsKey(peer)) {
                // The silent entry may also spend its share of the burst.
                level -= Math.max(0, level) / Math.max(1, members);
            }
            reservedTokens.merge(peer, share, Double::sum);
            accrued -= share;
        }
        reservedTokens.keySet().retainAll(silent);
        level = Math.min(burst, level + Math.max(0, accrued));
    }

    /**
     * Consumes tokens if others remain, and returns whether it did.
     *
     * @param tokens the number of tokens to consume
     * @param keptTokens the number of tokens that must remain for more important requests
     */
    public boolean tryConsume(long tokens, long keptTokens) {
        if (level < tokens + keptTokens) {
            return false;
        }
        level -= tokens;
        grantedTokens += tokens;
        return true;
    }

    /** Returns tokens to the bucket that were consumed for a request that did not run. */
    public void refund(long tokens) {
        level = Math.min(burst, level + tokens);
        grantedTokens -= tokens;
    }

    /**
     * Subtracts the tokens that another entry has granted since its last report.
     *
     * @param peer the name of the entry
     * @param total the number of tokens that the entry has granted since its start
     * @param restarted whether the entry has restarted since its last report
     * @param startedEarlier whether the entry started before this bucket was created; if so, its first report is not
     *     subtracted, because the bucket started empty
     */
    public void recordPeerGrants(String peer, long total, boolean restarted, boolean startedEarlier) {
        Long reportedTotal = peerGrants.put(peer, total);
        @Nullable Long previousTotal = restarted ? null : reportedTotal;
        double difference = total - (previousTotal == null ? (startedEarlier ? total : 0) : previousTotal);
        double reserved = reservedTokens.getOrDefault(peer, 0.0);
        level = Math.min(burst, level - (difference > 0 ? Math.max(0, difference - reserved) : difference));
        reservedTokens.remove(peer);
    }

    /**
     * Releases the tokens reserved for entries that are no longer members. Their granted totals are kept, because an
     * entry that loses its registration may still send reports, and continues its total when it is registered again.
     */
    public void retainMembers(Collection<String> members) {
        reservedTokens.keySet().retainAll(members);
    }

    /**
     * Adds the tokens that accrued before this bucket was created, while no entry was running to grant any.
     *
     * @param downtimeMillis the time for which all entries were down
     */
    public void refillForDowntime(long downtimeMillis) {
        level = Math.min(burst, level + tokensPerMilli * Math.max(0, downtimeMillis));
    }

    /** Returns the number of tokens that this entry has granted since its start, less the refunded tokens. */
    public long grantedTokens() {
        return grantedTokens;
    }

    /** Returns the number of tokens in the bucket; negative if more were granted than were available. */
    public double level() {
        return level;
    }

    /** Returns the time until a number of tokens is available, if no others are consumed. */
    public long millisUntilAvailable(long tokens) {
        return tokensPerMilli <= 0 ? Long.MAX_VALUE : (long) Math.max(0, Math.ceil((tokens - level) / tokensPerMilli));
    }
}
