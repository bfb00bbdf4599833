package io.oleandermoor.coordination.lease;

import io.oleandermoor.coordination.store.FaultyKeyValueStore;
import io.oleandermoor.coordination.store.InMemoryKeyValueStore;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.LeaseId;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WatchEvent;
import io.oleandermoor.coordination.store.WriteResult;
import io.oleandermoor.state.identity.InstanceId;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Processes with drifting clocks that compete for names in one store under virtual time. */
final class LeaseFleet {

    static final LeaseSettings SETTINGS = new LeaseSettings(Duration.ofSeconds(6), Duration.ofSeconds(60));

    final TestScheduler scheduler = new TestScheduler();
    final InMemoryKeyValueStore memory = new InMemoryKeyValueStore(scheduler);
    final List<Process> processes = new ArrayList<>();
    private final List<InstanceId> members = new ArrayList<>();

    Process add(double clockRate, List<String> names) {
        Process process = new Process(new InstanceId("entry-" + processes.size()), clockRate, names);
        processes.add(process);
        members.add(process.id);
        process.keeper.start();
        return process;
    }

    void leave(Process process) {
        members.remove(process.id);
    }

    List<Process> owners(String name) {
        return processes.stream().filter(process -> process.owns(name)).toList();
    }

    void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    final class Process {

        final InstanceId id;
        final PausableScheduler own = new PausableScheduler(scheduler);
        final FaultyKeyValueStore store = new FaultyKeyValueStore(memory, scheduler);
        final LeaseKeeper keeper;
        final List<Ownership> terms = new ArrayList<>();
        final List<Ownership> ended = new ArrayList<>();
        private final double clockRate;

        Process(InstanceId id, double clockRate, List<String> names) {
            this.id = id;
            this.clockRate = clockRate;
            OwnershipPreference preference = OwnershipPreference.rendezvous(id, () -> List.copyOf(members));
            keeper = new LeaseKeeper(
                    new AnswersOn(store, own), own, this::clockMillis, SETTINGS, preference, id, processes.size());
            for (String name : names) {
                keeper.register(name, new OwnedRole() {
                    @Override
                    public void started(Ownership ownership) {
                        terms.add(ownership);
                    }

                    @Override
                    public void ended(Ownership ownership) {
                        ended.add(ownership);
                    }
                });
            }
        }

        long clockMillis() {
            return (long) (scheduler.now(TimeUnit.MILLISECONDS) * clockRate);
        }

        /** What the process would find at its next check, even if it is paused until then. */
        boolean owns(String name) {
            return terms.stream().anyMatch(term -> term.name().equals(name) && term.isOwner(clockMillis()));
        }
    }

    /** Delivers the answers of a store on the scheduler of the calling process. */
    private record AnswersOn(KeyValueStore store, PausableScheduler scheduler) implements KeyValueStore {

        @Override
        public Single<Optional<VersionedValue>> get(String key) {
            return store.get(key).observeOn(scheduler);
        }

        @Override
        public Single<List<VersionedValue>> list(String prefix) {
            return store.list(prefix).observeOn(scheduler);
        }

        @Override
        public Single<WriteResult> compareAndSet(String key, long expected, byte[] value, Optional<LeaseId> lease) {
            return store.compareAndSet(key, expected, value, lease).observeOn(scheduler);
        }

        @Override
        public Single<WriteResult> compareAndDelete(String key, long expected) {
            return store.compareAndDelete(key, expected).observeOn(scheduler);
        }

        @Override
        public Single<LeaseId> grantLease(Duration timeToLive) {
            return store.grantLease(timeToLive).observeOn(scheduler);
        }

        @Override
        public Single<Boolean> renewLease(LeaseId lease) {
            return store.renewLease(lease).observeOn(scheduler);
        }

        @Override
        public Completable revokeLease(LeaseId lease) {
            return store.revokeLease(lease).observeOn(scheduler);
        }

        @Override
        public Flowable<WatchEvent> watch(String prefix, long fromRevision) {
            return store.watch(prefix, fromRevision).observeOn(scheduler);
        }
    }
}
