package io.oleandermoor.coordination.dissemination;

import java.util.List;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;

/**
 * Hashes over buckets of items in three levels: one bucket for all, 16 parts, and 16 parts of each. The hash of a
 * bucket is the sum of the hashes of its items, so that a change costs three additions.
 */
final class DigestTree {

    static final int ROOT = 0;

    private static final int FANOUT_BITS = 4;
    private static final int FANOUT = 1 << FANOUT_BITS;
    private static final int FIRST_MIDDLE = 1;
    private static final int FIRST_LEAF = FIRST_MIDDLE + FANOUT;
    private static final int BUCKETS = FIRST_LEAF + FANOUT * FANOUT;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final long[] sums = new long[BUCKETS];

    static long nameHash(String name) {
        return HASH.hashChars(name);
    }

    static boolean isBucket(int bucket) {
        return bucket >= 0 && bucket < BUCKETS;
    }

    static boolean isLeaf(int bucket) {
        return bucket >= FIRST_LEAF;
    }

    /** Returns whether an item belongs to a bucket. */
    static boolean contains(int bucket, long nameHash) {
        int leaf = leaf(nameHash);
        return bucket == ROOT || bucket == FIRST_LEAF + leaf || bucket == FIRST_MIDDLE + leaf / FANOUT;
    }

    long hash(int bucket) {
        return sums[bucket];
    }

    List<BucketDigest> parts(int bucket) {
        int first = bucket == ROOT ? FIRST_MIDDLE : FIRST_LEAF + (bucket - FIRST_MIDDLE) * FANOUT;
        return IntStream.range(first, first + FANOUT)
                .mapToObj(part -> new BucketDigest(part, sums[part]))
                .toList();
    }

    void add(long nameHash, long version) {
        change(nameHash, HASH.hashLong(nameHash ^ HASH.hashLong(version)));
    }

    void remove(long nameHash, long version) {
        change(nameHash, -HASH.hashLong(nameHash ^ HASH.hashLong(version)));
    }

    private void change(long nameHash, long amount) {
        int leaf = leaf(nameHash);
        sums[ROOT] += amount;
        sums[FIRST_MIDDLE + leaf / FANOUT] += amount;
        sums[FIRST_LEAF + leaf] += amount;
    }

    private static int leaf(long nameHash) {
        return (int) (nameHash >>> (Long.SIZE - 2 * FANOUT_BITS));
    }
}
