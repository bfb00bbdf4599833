package io.oleandermoor.coordination.store;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A key-value store in memory with the semantics of the platform's service. Leases run on the clock of a scheduler, so
 * that tests use virtual time. Events of a watch are delivered on the scheduler.
 *
 * <p>Safe for use by several threads. The lock guards only this store; no subscriber runs while it is held.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {

    private static final int DEFAULT_HISTORY_EVENTS = 10_000;

    private final Object lock = new Object();
    private final Scheduler scheduler;
    private final int historyEvents;
    private final TreeMap<String, Stored> values = new TreeMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final Deque<WatchEvent> history = new ArrayDeque<>();
    private final Set<Watcher> watchers = new HashSet<>();
    private long revision;
    private long compactedRevision;
    private long lastLease;
    private long reads;
    private long writes;
    private long leaseCalls;

    /**
     * Creates an empty store that keeps 10,000 events for watches.
     *
     * @param scheduler the clock of leases and the thread of watch events
     */
    public InMemoryKeyValueStore(Scheduler scheduler) {
        this(scheduler, DEFAULT_HISTORY_EVENTS);
    }

    /**
     * Creates an empty store.
     *
     * @param scheduler the clock of leases and the thread of watch events
     * @param historyEvents the number of events kept for watches that start in the past, at least 1
     */
    public InMemoryKeyValueStore(Scheduler scheduler, int historyEvents) {
        if (historyEvents < 1) {
            throw new IllegalArgumentException("historyEvents must be positive: " + historyEvents);
        }
        this.scheduler = scheduler;
        this.historyEvents = historyEvents;
    }

    @Override
    public Single<Optional<VersionedValue>> get(String key) {
        return call(() -> {
            reads++;
            return Optional.ofNullable(values.get(key)).map(Stored::value);
        });
    }

    @Override
    public Single<List<VersionedValue>> list(String prefix) {
        return call(() -> {
            reads++;
            return values.tailMap(prefix, true).values().stream()
                    .map(Stored::value)
                    .takeWhile(value -> value.key().startsWith(prefix))
                    .toList();
        });
    }

    @Override
    public Single<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        byte[] copy = value.clone();
        return call(() -> {
            writes++;
            if (copy.length > MAXIMUM_VALUE_BYTES) {
                throw new StoreException(
                        "write of " + key + " refused: " + copy.length + " bytes exceed " + MAXIMUM_VALUE_BYTES);
            }
            if (lease.isPresent() && !leases.containsKey(lease.get())) {
                throw new StoreException(
                        "write of " + key + " refused: lease " + lease.get().value() + " is over");
            }
            if (currentRevision(key) != expectedRevision) {
                return new WriteResult(false, revision);
            }
            detach(key);
            VersionedValue written = new VersionedValue(key, ++revision, copy);
            values.put(key, new Stored(written, lease));
            lease.ifPresent(id -> lease(id).keys.add(key));
            report(new WatchEvent(key, revision, Optional.of(written)));
            return new WriteResult(true, revision);
        });
    }

    @Override
    public Single<WriteResult> compareAndDelete(String key, long expectedRevision) {
        return call(() -> {
            writes++;
            if (expectedRevision == ABSENT || currentRevision(key) != expectedRevision) {
                return new WriteResult(false, revision);
            }
            delete(key);
            return new WriteResult(true, revision);
        });
    }

    @Override
    public Single<LeaseId> grantLease(Duration timeToLive) {
        if (timeToLive.toMillis() <= 0) {
            throw new IllegalArgumentException("timeToLive must be positive: " + timeToLive);
        }
        return call(() -> {
            leaseCalls++;
            LeaseId id = new LeaseId(++lastLease);
            Lease lease = new Lease(timeToLive.toMillis());
            leases.put(id, lease);
            extend(lease);
            return id;
        });
    }

    @Override
    public Single<Boolean> renewLease(LeaseId lease) {
        return call(() -> {
            leaseCalls++;
            Lease found = leases.get(lease);
            if (found == null) {
                return false;
            }
            extend(found);
            return true;
        });
    }

    @Override
    public Completable revokeLease(LeaseId lease) {
        return call(() -> {
                    leaseCalls++;
                    end(lease);
                    return true;
                })
                .ignoreElement();
    }

    @Override
    public Flowable<WatchEvent> watch(String prefix, long fromRevision) {
        return Flowable.defer(() -> {
            Watcher watcher = new Watcher(prefix, UnicastProcessor.create());
            synchronized (lock) {
                endLapsedLeases();
                reads++;
                if (fromRevision <= compactedRevision) {
                    return Flowable.error(new StoreException("watch of " + prefix + " from revision " + fromRevision
                            + " refused: revisions up to " + compactedRevision + " are compacted"));
                }
                watchers.add(watcher);
                history.stream()
                        .filter(event -> event.revision() >= fromRevision)
                        .forEach(watcher::offer);
            }
            return watcher.events.observeOn(scheduler).doFinally(() -> {
                synchronized (lock) {
                    watchers.remove(watcher);
                }
            });
        });
    }

    /**
     * Drops the history of events, after which a watch can only start from the next revision.
     *
     * @return the last revision that a watch can no longer report
     */
    public long compact() {
        synchronized (lock) {
            history.clear();
            compactedRevision = revision;
            return compactedRevision;
        }
    }

    /**
     * Returns the number of calls since the store was created.
     *
     * @return the counters
     */
    public StoreCalls calls() {
        synchronized (lock) {
            return new StoreCalls(reads, writes, leaseCalls, watchers.size());
        }
    }

    private <T> Single<T> call(Callable<T> action) {
        return Single.fromCallable(() -> {
            synchronized (lock) {
                endLapsedLeases();
                return action.call();
            }
        });
    }

    private long currentRevision(String key) {
        Stored stored = values.get(key);
        return stored == null ? ABSENT : stored.value().revision();
    }

    private Lease lease(LeaseId id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            throw new IllegalStateException("lease " + id.value() + " is over");
        }
        return lease;
    }

    private void extend(Lease lease) {
        lease.endMillis = scheduler.now(TimeUnit.MILLISECONDS) + lease.timeToLiveMillis;
        var unused = scheduler.scheduleDirect(
                () -> {
                    synchronized (lock) {
                        endLapsedLeases();
                    }
                },
                lease.timeToLiveMillis,
                TimeUnit.MILLISECONDS);
    }

    private void endLapsedLeases() {
        long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
        List<LeaseId> lapsed = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMillis <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        lapsed.forEach(this::end);
    }

    private void end(LeaseId id) {
        Lease lease = leases.remove(id);
        if (lease != null) {
            new ArrayList<>(lease.keys).forEach(this::delete);
        }
    }

    private void delete(String key) {
        detach(key);
        values.remove(key);
        report(new WatchEvent(key, ++revision, Optional.empty()));
    }

    private void detach(String key) {
        Stored stored = values.get(key);
        if (stored != null) {
            stored.lease().map(leases::get).ifPresent(lease -> lease.keys.remove(key));
        }
    }

    private void report(WatchEvent event) {
        history.addLast(event);
        if (history.size() > historyEvents) {
            compactedRevision = history.removeFirst().revision();
        }
        watchers.forEach(watcher -> watcher.offer(event));
    }

    private record Stored(VersionedValue value, Optional<LeaseId> lease) {}

    private static final class Lease {
        private final long timeToLiveMillis;
        private final Set<String> keys = new HashSet<>();
        private long endMillis;

        Lease(long timeToLiveMillis) {
            this.timeToLiveMillis = timeToLiveMillis;
        }
    }

    private static final class Watcher {
        private final String prefix;
        private final UnicastProcessor<WatchEvent> events;

        Watcher(String prefix, UnicastProcessor<WatchEvent> events) {
            this.prefix = prefix;
            this.events = events;
        }

        void offer(WatchEvent event) {
            if (event.key().startsWith(prefix)) {
                events.onNext(event);
            }
        }
    }
}
