package io.oleandermoor.coordination.store;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service. Every call, and every waiting watch, counts against the service's budget of calls.
 *
 * <p>Calls signal a {@link StoreException} when the service gave no answer. A write without an answer may have taken
 * effect; callers read the value back to find out. Implementations are safe for use by several threads.
 */
public interface KeyValueStore {

    /** The revision that {@link #compareAndSet} expects of a key without a value. */
    long ABSENT = 0;

    /** Largest value that the service takes, in bytes. */
    int MAXIMUM_VALUE_BYTES = 1_000_000;

    /**
     * Reads a value.
     *
     * @param key the key
     * @return the value, or empty if the key has none
     */
    Single<Optional<VersionedValue>> get(String key);

    /**
     * Reads all values whose key starts with a prefix.
     *
     * @param prefix the prefix
     * @return the values in the order of their keys
     */
    Single<List<VersionedValue>> list(String prefix);

    /**
     * Writes a value if the key's revision is the expected one.
     *
     * @param key the key
     * @param expectedRevision the revision that was read, or {@link #ABSENT}
     * @param value the new value, at most {@link #MAXIMUM_VALUE_BYTES}
     * @param lease the lease with which the value vanishes, or empty for a value that stays
     * @return whether the write was applied, with the revision
     */
    Single<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, Optional<LeaseId> lease);

    /**
     * Deletes a value if the key's revision is the expected one.
     *
     * @param key the key
     * @param expectedRevision the revision that was read
     * @return whether the value was deleted
     */
    Single<WriteResult> compareAndDelete(String key, long expectedRevision);

    /**
     * Creates a lease.
     *
     * @param timeToLive how long the lease lives without renewal
     * @return the identifier of the lease
     */
    Single<LeaseId> grantLease(Duration timeToLive);

    /**
     * Renews a lease for its time to live.
     *
     * @param lease the lease
     * @return true if the lease was renewed, false if it is over
     */
    Single<Boolean> renewLease(LeaseId lease);

    /**
     * Ends a lease and deletes the values attached to it.
     *
     * @param lease the lease
     * @return completes when the lease is over
     */
    Completable revokeLease(LeaseId lease);

    /**
     * Watches all keys that start with a prefix. The stream ends with a {@link StoreException} when the connection to
     * the service is lost; the caller subscribes again from the revision after the last one that it saw.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to report
     * @return the changes in the order of their revisions
     */
    Flowable<WatchEvent> watch(String prefix, long fromRevision);
}
