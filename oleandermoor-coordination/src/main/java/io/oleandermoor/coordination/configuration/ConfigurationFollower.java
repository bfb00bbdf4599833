package io.oleandermoor.coordination.configuration;

import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.VersionedValue;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps the configuration of a process up to date from the key-value service. A chosen reader watches the head and
 * confirms it each second; other processes read only when {@link ServiceReadPolicy} says so.
 *
 * <p>The methods may be called by any thread. The lock guards the policy and is taken alone.
 */
public final class ConfigurationFollower {

    private static final Logger LOG = LogManager.getLogger(ConfigurationFollower.class);
    private static final long TICK_MILLIS = 250;
    /** A call without an answer for this long counts as failed, so that the next one is made in time. */
    private static final long READ_TIMEOUT_MILLIS = 3_000;
    /** A watch that ended starts again after this pause; the reads of each second go on meanwhile. */
    private static final long WATCH_PAUSE_MILLIS = 1_000;

    private final Object lock = new Object();
    private final KeyValueStore store;
    private final ConfigurationLog log;
    private final ConfigurationHolder holder;
    private final Freshness freshness;
    private final ServiceReadPolicy policy;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final SerialDisposable watch = new SerialDisposable();
    private final CompositeDisposable running = new CompositeDisposable(watch);
    private volatile long lastHeardMillis;
    private volatile boolean watching;
    private volatile long watchNotBeforeMillis = Long.MIN_VALUE;

    /**
     * Creates a follower that does nothing until it is started.
     *
     * @param store the key-value service
     * @param log the configuration log on it
     * @param holder the configuration in force
     * @param freshness the freshness of that configuration
     * @param policy when to read
     * @param scheduler runs timers
     * @param clock the process's own monotonic clock, in milliseconds
     */
    public ConfigurationFollower(
            KeyValueStore store,
            ConfigurationLog log,
            ConfigurationHolder holder,
            Freshness freshness,
            ServiceReadPolicy policy,
            Scheduler scheduler,
            LongSupplier clock) {
        this.store = store;
        this.log = log;
        this.holder = holder;
        this.freshness = freshness;
        this.policy = policy;
        this.scheduler = scheduler;
        this.clock = clock;
        holder.addListener((previous, current) -> freshness.versionInForce(current.version()));
    }

    /**
     * Starts following.
     *
     * @param reader whether this process is chosen to read the service; asked at each tick
     * @param found receives the changes that a read found, to be disseminated
     */
    public void start(BooleanSupplier reader, Consumer<VersionedChange> found) {
        lastHeardMillis = clock.getAsLong();
        running.add(Observable.interval(0, TICK_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                .subscribe(number -> {
                    try {
                        tick(reader.getAsBoolean(), found);
                    } catch (RuntimeException failure) {
                        // The timer goes on, because the configuration would otherwise stay as it is for good.
                        LOG.error("event=configuration-follower-failed error=\"{}\"", failure.toString(), failure);
                    }
                }));
    }

    /** Stops following; the configuration in force stays. */
    public void stop() {
        running.dispose();
    }

    /** Records that a message of a peer came. */
    public void heard() {
        lastHeardMillis = clock.getAsLong();
    }

    private void tick(boolean reader, Consumer<VersionedChange> found) {
        if (reader != watching && clock.getAsLong() >= watchNotBeforeMillis) {
            watching = reader;
            watch.set(reader ? startWatch(found) : Disposable.disposed());
        }
        long nowMillis = clock.getAsLong();
        ServiceReadPolicy.Situation situation = new ServiceReadPolicy.Situation(
                reader,
                lastHeardMillis,
                freshness.ageMillis(nowMillis),
                holder.missing().isPresent());
        boolean read;
        synchronized (lock) {
            read = policy.decide(situation, nowMillis);
        }
        if (read) {
            long version = holder.configuration().version();
            var unused = log.readAfter(version)
                    .timeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                    .subscribe(
                            update -> {
                                finished(true, reader);
                                apply(update, version, found);
                                freshness.confirm(update.configuration().version(), nowMillis);
                            },
                            failure -> {
                                finished(false, reader);
                                LOG.warn("event=configuration-read-failed error=\"{}\"", failure.getMessage());
                            },
                            running);
        }
    }

    private void finished(boolean answered, boolean reader) {
        synchronized (lock) {
            policy.finished(answered, reader, clock.getAsLong());
        }
    }

    private Disposable startWatch(Consumer<VersionedChange> found) {
        return store.get(ConfigurationLog.HEAD_KEY)
                .map(head -> head.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT) + 1)
                .flatMapPublisher(revision -> store.watch(ConfigurationLog.HEAD_KEY, revision))
                .concatMapMaybe(event -> {
                    long version = holder.configuration().version();
                    return Single.just(event)
                            .mapOptional(changed -> changed.value())
                            .flatMapSingle(head -> log.readAfter(head, version))
                            .doOnSuccess(update -> apply(update, version, found));
                })
                .ignoreElements()
                .subscribe(() -> watching = false, failure -> {
                    watchNotBeforeMillis = clock.getAsLong() + WATCH_PAUSE_MILLIS;
                    watching = false;
                    LOG.warn("event=configuration-watch-ended error=\"{}\"", failure.getMessage());
                });
    }

    private void apply(ConfigurationUpdate update, long versionBefore, Consumer<VersionedChange> found) {
        boolean changed = false;
        for (VersionedChange change : update.changes()) {
            changed |= holder.offer(change);
        }
        // Also when the changes are not at hand, or cannot be applied here.
        changed |= holder.offer(update.configuration());
        if (changed) {
            LOG.info(
                    "event=configuration-read version={} before={}",
                    update.configuration().version(),
                    versionBefore);
            update.changes().forEach(found);
        }
    }
}
