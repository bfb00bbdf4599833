package io.oleandermoor.coordination.dissemination;

/**
 * Hash over the names and versions of all items in a bucket.
 *
 * @param bucket number of the bucket; 0 holds all items, and each bucket above the last level has 16 parts
 * @param hash the hash, equal at two processes that have the same versions
 */
public record BucketDigest(int bucket, long hash) {}
