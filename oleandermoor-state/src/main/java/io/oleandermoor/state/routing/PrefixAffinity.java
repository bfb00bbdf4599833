package io.oleandermoor.state.routing;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Remembers which prompt prefixes were lately sent to which upstream, in a table of fixed size. Entries refer to one
 * incarnation of an upstream, so a restart makes them unreachable. Safe for use by several threads; its lock has place
 * 6 in the lock order and is never held together with that of the routing table.
 */
public final class PrefixAffinity {

    /** Entries with the same index; a block that many upstreams hold keeps the most recent of them. */
    private static final int WAYS = 8;

    /** Age up to which entries are still trusted when an event was lost, in milliseconds. */
    private static final long TRUSTED_AGE_AFTER_GAP_MILLIS = 10_000;

    private final Object lock = new Object();
    private final int setMask;
    private final long[] hashes;
    private final @Nullable UpstreamState[] holders;
    private final long[] lastUsedMillis;

    /**
     * Creates an empty table.
     *
     * @param capacity the number of entries, a power of two and at least 8; each takes about 24 bytes
     */
    public PrefixAffinity(int capacity) {
        if (capacity < WAYS || Integer.bitCount(capacity) != 1) {
            throw new IllegalArgumentException("capacity must be a power of two of at least 8, was " + capacity);
        }
        this.setMask = capacity / WAYS - 1;
        this.hashes = new long[capacity];
        this.holders = new UpstreamState[capacity];
        this.lastUsedMillis = new long[capacity];
    }

    /** Remembers that a prompt was sent to an upstream. */
    void recordSend(UpstreamState upstream, PromptPrefix prefix, long nowMillis) {
        synchronized (lock) {
            for (int block = 0; block < prefix.blockCount(); block++) {
                store(prefix.hash(block), upstream, nowMillis);
            }
        }
    }

    /**
     * Finds the longest known part of a prefix and writes the upstreams that hold it into an array, most recently used
     * first. The rest of the array becomes null.
     *
     * @return the number of leading blocks that some upstream holds
     */
    int findLongestPrefixHolders(PromptPrefix prefix, @Nullable UpstreamState[] result) {
        synchronized (lock) {
            int low = 0;
            int high = prefix.blockCount();
            while (low < high) {
                int middle = (low + high + 1) >>> 1;
                if (hasHolder(prefix.hash(middle - 1))) {
                    low = middle;
                } else {
                    high = middle - 1;
                }
            }
            if (low > 0) {
                collectHolders(prefix.hash(low - 1), result);
            }
            return low;
        }
    }

    /**
     * Returns the number of leading blocks, up to a limit, that an upstream holds as far as is known. All or nothing is
     * the usual case and is looked at first.
     */
    int cachedBlocks(UpstreamState upstream, PromptPrefix prefix, int limit) {
        if (limit == 0) {
            return 0;
        }
        synchronized (lock) {
            if (find(prefix.hash(limit - 1), upstream) >= 0) {
                return limit;
            }
            if (find(prefix.hash(0), upstream) < 0) {
                return 0;
            }
            int low = 1;
            int high = limit - 1;
            while (low < high) {
                int middle = (low + high + 1) >>> 1;
                if (find(prefix.hash(middle - 1), upstream) >= 0) {
                    low = middle;
                } else {
                    high = middle - 1;
                }
            }
            return low;
        }
    }

    /**
     * Takes a cache event. An event that is not newer than the last one is ignored. When events are missing, entries
     * that were not used shortly before are no longer trusted, because lost evictions concern those first. An eviction
     * does not remove an entry that was sent after it, because the engine has computed the block again since.
     */
    void applyCacheEvent(UpstreamState upstream, CacheEvent event) {
        synchronized (lock) {
            if (event.sequence() <= upstream.lastCacheSequence) {
                return;
            }
            if (event.sequence() > upstream.lastCacheSequence + 1) {
                upstream.cacheTrustedSinceMillis = event.measuredAtMillis() - TRUSTED_AGE_AFTER_GAP_MILLIS;
            }
            upstream.lastCacheSequence = event.sequence();
            for (long hash : event.evicted()) {
                int index = find(hash, upstream);
                if (index >= 0 && lastUsedMillis[index] <= event.measuredAtMillis()) {
                    holders[index] = null;
                }
            }
            for (long hash : event.stored()) {
                store(hash, upstream, event.measuredAtMillis());
            }
        }
    }

    private void store(long hash, UpstreamState upstream, long nowMillis) {
        int first = firstIndex(hash);
        int target = first;
        for (int index = first; index < first + WAYS; index++) {
            UpstreamState holder = holders[index];
            if (holder == upstream && hashes[index] == hash) {
                lastUsedMillis[index] = Math.max(lastUsedMillis[index], nowMillis);
                return;
            }
            if (holders[target] != null && (holder == null || lastUsedMillis[index] < lastUsedMillis[target])) {
                target = index;
            }
        }
        hashes[target] = hash;
        holders[target] = upstream;
        lastUsedMillis[target] = nowMillis;
    }

    private int find(long hash, UpstreamState upstream) {
        int first = firstIndex(hash);
        for (int index = first; index < first + WAYS; index++) {
            if (hashes[index] == hash && holders[index] == upstream && isTrusted(index, upstream)) {
                return index;
            }
        }
        return -1;
    }

    private boolean hasHolder(long hash) {
        int first = firstIndex(hash);
        for (int index = first; index < first + WAYS; index++) {
            UpstreamState holder = holders[index];
            if (hashes[index] == hash && holder != null && isTrusted(index, holder)) {
                return true;
            }
        }
        return false;
    }

    private void collectHolders(long hash, @Nullable UpstreamState[] result) {
        Arrays.fill(result, null);
        int first = firstIndex(hash);
        int found = 0;
        long bound = Long.MAX_VALUE;
        int boundIndex = -1;
        while (found < result.length) {
            int best = -1;
            for (int index = first; index < first + WAYS; index++) {
                UpstreamState holder = holders[index];
                boolean remaining =
                        lastUsedMillis[index] < bound || (lastUsedMillis[index] == bound && index > boundIndex);
                if (hashes[index] == hash
                        && holder != null
                        && remaining
                        && isTrusted(index, holder)
                        && (best < 0 || lastUsedMillis[index] > lastUsedMillis[best])) {
                    best = index;
                }
            }
            if (best < 0) {
                return;
            }
            result[found++] = holders[best];
            bound = lastUsedMillis[best];
            boundIndex = best;
        }
    }

    private boolean isTrusted(int index, UpstreamState holder) {
        long trustedSinceMillis = holder.cacheTrustedSinceMillis;
        return trustedSinceMillis == Long.MIN_VALUE || lastUsedMillis[index] >= trustedSinceMillis;
    }

    private int firstIndex(long hash) {
        return ((int) (hash ^ (hash >>> 32)) & setMask) * WAYS;
    }
}
