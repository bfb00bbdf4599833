package io.oleandermoor.coordination.store;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decorates a store with faults that are switched on and off: outage, slow answers, answers lost after the write took
 * effect, lapsed leases and stale reads. All faults are off at first. Safe for use by several threads.
 */
public final class FaultyKeyValueStore implements KeyValueStore {

    private final KeyValueStore delegate;
    private final Scheduler scheduler;
    private final PublishProcessor<WatchEvent> outage = PublishProcessor.create();
    private final Set<LeaseId> leases = ConcurrentHashMap.newKeySet();
    private final Map<String, Optional<VersionedValue>> lastRead = new ConcurrentHashMap<>();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile boolean down;
    private volatile boolean staleReads;
    private volatile long requestDelayMillis;
    private volatile long answerDelayMillis;

    /**
     * Creates the decorator without faults.
     *
     * @param delegate the store that answers
     * @param scheduler the clock of delays
     */
    public FaultyKeyValueStore(KeyValueStore delegate, Scheduler scheduler) {
        this.delegate = delegate;
        this.scheduler = scheduler;
    }

    /**
     * Switches an outage on or off. Its start ends all watches.
     *
     * @param isDown true if no call is answered
     */
    public void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            outage.onNext(new WatchEvent("", 0, Optional.empty()));
        }
    }

    /**
     * Delays calls on the way to the store and on the way back.
     *
     * @param request time until the store sees a call
     * @param answer time from the effect of a call to its answer
     */
    public void setDelay(Duration request, Duration answer) {
        requestDelayMillis = request.toMillis();
        answerDelayMillis = answer.toMillis();
    }

    /**
     * Loses the answers of the next calls that change something; the changes take effect.
     *
     * @param count the number of answers to lose
     */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /**
     * Switches stale reads on or off. A stale read answers what the last read of the same key answered.
     *
     * @param isStale true if reads are stale
     */
    public void setStaleReads(boolean isStale) {
        staleReads = isStale;
    }

    /**
     * Ends all leases that were granted through this decorator.
     *
     * @return completes when the leases are over
     */
    public Completable lapseLeases() {
        List<LeaseId> lapsing = List.copyOf(leases);
        leases.clear();
        return Flowable.fromIterable(lapsing).concatMapCompletable(delegate::revokeLease);
    }

    @Override
    public Single<Optional<VersionedValue>> get(String key) {
        return faulty("get " + key, delegate.get(key)).map(value -> {
            Optional<VersionedValue> earlier = lastRead.get(key);
            if (staleReads && earlier != null) {
                return earlier;
            }
            lastRead.put(key, value);
            return value;
        });
    }

    @Override
    public Single<List<VersionedValue>> list(String prefix) {
        return faulty("list " + prefix, delegate.list(prefix));
    }

    @Override
    public Single<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, Optional<LeaseId> lease) {
        String call = "compareAndSet " + key;
        return losing(call, faulty(call, delegate.compareAndSet(key, expectedRevision, value, lease)));
    }

    @Override
    public Single<WriteResult> compareAndDelete(String key, long expectedRevision) {
        String call = "compareAndDelete " + key;
        return losing(call, faulty(call, delegate.compareAndDelete(key, expectedRevision)));
    }

    @Override
    public Single<LeaseId> grantLease(Duration timeToLive) {
        return losing("grantLease", faulty("grantLease", delegate.grantLease(timeToLive)))
                .doOnSuccess(leases::add);
    }

    @Override
    public Single<Boolean> renewLease(LeaseId lease) {
        return losing("renewLease", faulty("renewLease", delegate.renewLease(lease)));
    }

    @Override
    public Completable revokeLease(LeaseId lease) {
        return faulty("revokeLease", delegate.revokeLease(lease).toSingleDefault(lease))
                .ignoreElement();
    }

    @Override
    public Flowable<WatchEvent> watch(String prefix, long fromRevision) {
        Flowable<WatchEvent> broken = outage.flatMap(event -> Flowable.error(unanswered("watch " + prefix)));
        return Flowable.defer(() -> down
                ? Flowable.error(unanswered("watch " + prefix))
                : delegate.watch(prefix, fromRevision).mergeWith(broken));
    }

    private <T> Single<T> faulty(String call, Single<T> answer) {
        return Single.defer(() -> {
            if (down) {
                return Single.error(unanswered(call));
            }
            long requestDelay = requestDelayMillis;
            long answerDelay = answerDelayMillis;
            Single<T> delayed = requestDelay == 0
                    ? answer
                    : Single.timer(requestDelay, TimeUnit.MILLISECONDS, scheduler)
                            .flatMap(tick -> answer);
            return answerDelay == 0 ? delayed : delayed.delay(answerDelay, TimeUnit.MILLISECONDS, scheduler);
        });
    }

    private <T> Single<T> losing(String call, Single<T> answer) {
        return answer.flatMap(result -> answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0
                ? Single.error(unanswered(call))
                : Single.just(result));
    }

    private static StoreException unanswered(String call) {
        return new StoreException("no answer to " + call);
    }
}
