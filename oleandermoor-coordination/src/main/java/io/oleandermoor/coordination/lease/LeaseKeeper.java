package io.oleandermoor.coordination.lease;

import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.state.identity.InstanceId;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes, renews and hands over names for one process. All names of the process hang on one lease, so renewals do not
 * grow with the number of names. A lease is granted only once a name is free.
 *
 * <p>Thread-safe. The keeper's lock is taken alone; roles and store calls run outside it.
 */
public final class LeaseKeeper {

    private static final Logger LOG = LogManager.getLogger(LeaseKeeper.class);

    private final Object lock = new Object();
    private final KeyValueStore store;
    private final ConditionalWriter writer;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final LeaseSettings settings;
    private final OwnershipPreference preference;
    private final String identity;
    private final Map<String, Candidacy> candidacies = new TreeMap<>();
    private final CompositeDisposable running = new CompositeDisposable();
    private Optional<LeaseValidity> lease = Optional.empty();
    private long renewalSentMillis;
    private boolean stopped;

    /**
     * Creates a keeper that does nothing until it is started.
     *
     * @param store the key-value service
     * @param scheduler runs timers and roles
     * @param clock the process's own monotonic clock, in milliseconds
     * @param settings the times
     * @param preference the names that this process tries to own
     * @param identity this process
     * @param incarnation start time of this process, different after a restart
     */
    public LeaseKeeper(
            KeyValueStore store,
            Scheduler scheduler,
            LongSupplier clock,
            LeaseSettings settings,
            OwnershipPreference preference,
            InstanceId identity,
            long incarnation) {
        this.store = store;
        this.scheduler = scheduler;
        this.clock = clock;
        this.settings = settings;
        this.preference = preference;
        this.identity = identity.value() + " " + incarnation;
        this.writer = new ConditionalWriter(store, scheduler, identity.value() + "/" + incarnation + "/lease");
    }

    /**
     * Adds a name that this process owns when its preference and the service allow.
     *
     * @param name the key at the service, such as {@code owner/placement}
     * @param role runs while the name is owned
     */
    public void register(String name, OwnedRole role) {
        synchronized (lock) {
            candidacies.put(name, new Candidacy(name, role, scheduler));
        }
    }

    /** Starts the timer. */
    public void start() {
        running.add(Observable.interval(0, settings.tickMillis(), TimeUnit.MILLISECONDS, scheduler)
                .subscribe(number -> {
                    try {
                        tick();
                    } catch (RuntimeException failure) {
                        // The timer goes on; terms that cannot be renewed end by the clock.
                        LOG.error("event=lease-keeper-failed error=\"{}\"", failure.toString(), failure);
                    }
                }));
    }

    /**
     * Ends all roles and hands their names over, so that other processes need not wait for the lease to lapse.
     *
     * @return completes when the names are free, or when the service did not answer
     */
    public Completable stop() {
        return Completable.defer(() -> {
            Optional<LeaseValidity> held;
            synchronized (lock) {
                stopped = true;
                held = lease;
                lease = Optional.empty();
            }
            running.clear();
            held.ifPresent(LeaseValidity::end);
            endInvalidTerms();
            return Maybe.fromOptional(held)
                    .flatMapCompletable(ended -> store.revokeLease(ended.id()))
                    .doOnError(failure -> LOG.warn("event=lease-not-revoked error=\"{}\"", failure.getMessage()))
                    .onErrorComplete();
        });
    }

    /**
     * Returns the present ownership of a name.
     *
     * @param name the name
     * @return the ownership, or empty if this process is not the owner now
     */
    public Optional<Ownership> ownership(String name) {
        long nowMillis = clock.getAsLong();
        synchronized (lock) {
            return Optional.ofNullable(candidacies.get(name))
                    .flatMap(candidacy -> candidacy.term)
                    .filter(term -> term.isOwner(nowMillis));
        }
    }

    private void tick() {
        endInvalidTerms();
        renewIfDue();
        List<Candidacy> due = new ArrayList<>();
        List<Candidacy> handingOver = new ArrayList<>();
        long nowMillis = clock.getAsLong();
        List<Candidacy> all;
        synchronized (lock) {
            all = candidacies.values().stream()
                    .filter(candidacy -> candidacy.isDue(nowMillis, settings))
                    .toList();
        }
        for (Candidacy candidacy : all) {
            // The preference reads the membership table, whose lock precedes this one.
            OptionalInt rank = preference.rank(candidacy.name);
            synchronized (lock) {
                if (candidacy.term.isPresent()) {
                    if (candidacy.shouldHandOver(rank, nowMillis, settings)) {
                        handingOver.add(candidacy);
                    }
                } else if (!stopped && candidacy.shouldAttempt(rank, nowMillis, settings)) {
                    due.add(candidacy);
                }
            }
        }
        handingOver.forEach(this::handOver);
        due.forEach(this::attempt);
    }

    private void endInvalidTerms() {
        long nowMillis = clock.getAsLong();
        List<Ownership> over = new ArrayList<>();
        synchronized (lock) {
            lease = lease.filter(held -> held.isValid(nowMillis));
            for (Candidacy candidacy : candidacies.values()) {
                candidacy.term.filter(term -> !term.isOwner(nowMillis)).ifPresent(term -> {
                    candidacy.ended(term);
                    over.add(term);
                });
            }
        }
        over.forEach(term -> LOG.info(
                "event=ownership-ended name={} fencing={}",
                term.name(),
                term.fencing().value()));
    }

    private void renewIfDue() {
        long nowMillis = clock.getAsLong();
        LeaseValidity current;
        synchronized (lock) {
            boolean used = candidacies.values().stream().anyMatch(candidacy -> candidacy.term.isPresent());
            if (!used || lease.isEmpty()) {
                return;
            }
            current = lease.get();
            long lastSentMillis = Math.max(current.sentMillis(), renewalSentMillis);
            if (nowMillis - lastSentMillis < settings.renewalMillis()) {
                return;
            }
            renewalSentMillis = nowMillis;
        }
        var unused = store.renewLease(current.id())
                .timeout(settings.validMillis(), TimeUnit.MILLISECONDS, scheduler)
                .subscribe(
                        alive -> {
                            if (!alive) {
                                LOG.warn(
                                        "event=lease-lapsed lease={}",
                                        current.id().value());
                                current.end();
                            } else if (!current.renewed(nowMillis, clock.getAsLong())) {
                                LOG.warn(
                                        "event=lease-renewed-late lease={}",
                                        current.id().value());
                            }
                            endInvalidTerms();
                        },
                        failure -> LOG.warn("event=lease-renewal-failed error=\"{}\"", failure.getMessage()),
                        running);
    }

    private void attempt(Candidacy candidacy) {
        var unused = store.get(candidacy.name)
                .flatMapMaybe(found -> found.isPresent() ? adopt(candidacy, found.get()) : take(candidacy.name))
                .timeout(settings.validMillis(), TimeUnit.MILLISECONDS, scheduler)
                .doFinally(() -> {
                    synchronized (lock) {
                        candidacy.attempting = false;
                    }
                })
                .subscribe(
                        taken -> started(candidacy, taken),
                        failure -> LOG.warn(
                                "event=ownership-attempt-failed name={} error=\"{}\"",
                                candidacy.name,
                                failure.getMessage()),
                        () -> {},
                        running);
    }

    /**
     * Recognizes a name that this process took by a write whose answer was lost. It belongs to this process only while
     * the lease of that write is the present one. A term that was handed over is not resumed, because its deletion may
     * still take effect; it is deleted again instead.
     */
    private Maybe<Taken> adopt(Candidacy candidacy, VersionedValue found) {
        return Maybe.defer(() -> {
            String content = new String(ConditionalWriter.content(found), StandardCharsets.UTF_8);
            Optional<LeaseValidity> current;
            boolean handedOver;
            synchronized (lock) {
                current = lease.filter(held -> content.equals(ownerContent(held)));
                handedOver = found.revision() <= candidacy.endedRevision;
            }
            if (current.isPresent() && handedOver) {
                return store.compareAndDelete(candidacy.name, found.revision())
                        .ignoreElement()
                        .toMaybe();
            }
            return Maybe.fromOptional(current).map(held -> new Taken(held, found.revision()));
        });
    }

    private String ownerContent(LeaseValidity held) {
        return identity + "\n" + held.id().value();
    }

    private Maybe<Taken> take(String name) {
        return currentLease().flatMapMaybe(held -> {
            byte[] content = ownerContent(held).getBytes(StandardCharsets.UTF_8);
            return writer.write(name, KeyValueStore.ABSENT, content, Optional.of(held.id()))
                    .flatMapMaybe(outcome ->
                            outcome.applied() ? Maybe.just(new Taken(held, outcome.revision())) : Maybe.empty());
        });
    }

    private Single<LeaseValidity> currentLease() {
        long nowMillis = clock.getAsLong();
        synchronized (lock) {
            // A lease that is about to lapse is not worth a write.
            if (lease.isPresent() && lease.get().isValid(nowMillis + settings.renewalMillis())) {
                return Single.just(lease.get());
            }
        }
        return store.grantLease(settings.timeToLive()).map(id -> {
            LeaseValidity granted = new LeaseValidity(id, nowMillis, settings.validMillis());
            synchronized (lock) {
                boolean used = candidacies.values().stream().anyMatch(candidacy -> candidacy.term.isPresent());
                if (lease.isEmpty() || (!used && !lease.get().isValid(nowMillis + settings.renewalMillis()))) {
                    lease = Optional.of(granted);
                }
                return lease.get();
            }
        });
    }

    private void started(Candidacy candidacy, Taken taken) {
        Ownership term = new Ownership(candidacy.name, new FencingNumber(taken.revision), taken.lease);
        synchronized (lock) {
            boolean current = lease.filter(held -> held.equals(taken.lease)).isPresent();
            if (stopped || !current || !term.isOwner(clock.getAsLong()) || candidacy.term.isPresent()) {
                return;
            }
            candidacy.started(term);
        }
        LOG.info("event=ownership-started name={} fencing={}", candidacy.name, taken.revision);
    }

    private void handOver(Candidacy candidacy) {
        Ownership term;
        synchronized (lock) {
            if (candidacy.term.isEmpty()) {
                return;
            }
            term = candidacy.term.get();
            candidacy.ended(term);
        }
        LOG.info(
                "event=ownership-handed-over name={} fencing={}",
                candidacy.name,
                term.fencing().value());
        var unused = store.compareAndDelete(candidacy.name, term.fencing().value())
                .subscribe(
                        result -> LOG.debug("event=ownership-released name={}", candidacy.name),
                        failure -> LOG.warn(
                                "event=ownership-not-released name={} error=\"{}\"",
                                candidacy.name,
                                failure.getMessage()),
                        running);
    }

    private record Taken(LeaseValidity lease, long revision) {}
}
