package io.oleandermoor.state.routing;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Records which prompt prefixes were recently sent to which upstream, in a set-associative table of fixed size. Table
 * entries refer to one incarnation of an upstream, so a restart invalidates them. Thread-safe; the lock has position 6
 * in the lock order and is never held together with that of the routing table.
 */
public final class PrefixAffinity {

    /** Number of table entries per set. If more upstreams hold a block, those that used it last are kept. */
    private static final int WAYS = 8;

    /** Maximum age at which table entries remain valid after an event was lost, in milliseconds. */
    private static final long TRUSTED_AGE_AFTER_GAP_MILLIS = 10_000;

    private final Object lock = new Object();
    private final int setMask;
    private final long[] hashes;
    private final @Nullable UpstreamState[] holders;
    private final long[] lastUsedMillis;

    /**
     * Creates an empty table.
     *
     * @param capacity the number of table entries, a power of two and at least 8; each takes about 24 bytes
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

    /** Records that a prompt was sent to an upstream. */
    void recordSend(UpstreamState upstream, PromptPrefix prefix, long nowMillis) {
        synchronized (lock) {
            for (int block = 0; block < prefix.blockCount(); block++) {
                store(prefix.hash(block), upstream, nowMillis);
            }
        }
    }

    /**
     * Finds the longest part of a prefix that some upstream holds and writes its holders into an array, those that used
     * it most recently first. The remaining elements of the array are set to null.
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
     * Returns the number of leading blocks, up to a limit, that an upstream holds according to the table. Checks for
     * all blocks and for none first, because these are the common cases.
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
     * Applies a cache event. An event that is not newer than the last one is ignored. If events are missing, table
     * entries that were not used recently are no longer trusted, because lost evictions affect those first. An eviction
     * does not remove a table entry whose block was sent after it, because the engine has computed the block again
     * since.
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
        long lastCollectedMillis = Long.MAX_VALUE;
        int lastCollectedIndex = -1;
        while (found < result.length) {
            int best = -1;
            for (int index = first; index < first + WAYS; index++) {
                UpstreamState holder = holders[index];
                boolean remaining = lastUsedMillis[index] < lastCollectedMillis
                        || (lastUsedMillis[index] == lastCollectedMillis && index > lastCollectedIndex);
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
            lastCollectedMillis = lastUsedMillis[best];
            lastCollectedIndex = best;
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
