package io.oleandermoor.gateway.soak;

import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.StoreStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;

/** Two entry processes with a store and stuttering instances of two services. */
final class SoakFleet implements AutoCloseable {

    private static final int INSTANCES_OF_SERVICE = 4;
    private static final int MAXIMUM_BODY_BYTES = 64 << 10;
    private static final int MAXIMUM_COPY_AGE_MILLIS = 1_500;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    private final long seed;
    private final StoreStandIn store = new StoreStandIn();
    private final RunLedger ledger = new RunLedger();
    private final List<Place> places = new ArrayList<>();
    private final List<EntryProcess> entries = new ArrayList<>();
    private final AtomicInteger configurationVersion = new AtomicInteger();
    private final Queue<String> endedInstances = new ConcurrentLinkedQueue<>();
    private final AtomicInteger instanceCount = new AtomicInteger();

    /** An address at which one instance after another runs. */
    private static final class Place {

        private final String service;
        private final int port;
        private StutteringInstance instance;

        Place(String service, int port, StutteringInstance instance) {
            this.service = service;
            this.port = port;
            this.instance = instance;
        }
    }

    SoakFleet(long seed, Path directory) throws IOException {
        this.seed = seed;
        store.setEra(1);
        for (String service : List.of("shop", "words")) {
            for (int count = 0; count < INSTANCES_OF_SERVICE; count++) {
                int port = EntryFixture.freePort();
                places.add(new Place(service, port, startInstance(service, port)));
            }
        }
        configure();
        entries.add(new EntryProcess("entry-a", store, directory));
        entries.add(new EntryProcess("entry-b", store, directory));
    }

    void awaitReady() {
        await().atMost(START_TIMEOUT).until(() -> entries.stream().allMatch(EntryProcess::isReady));
    }

    List<EntryProcess> entries() {
        return entries;
    }

    RunLedger ledger() {
        return ledger;
    }

    EntryProcess entry(UniformRandomProvider random) {
        return entries.get(random.nextInt(entries.size()));
    }

    /** Ends an entry and starts it again, mostly only while the other one is ready, so that callers are served. */
    void restartEntry(UniformRandomProvider random, boolean kill) throws IOException, InterruptedException {
        int index = random.nextInt(entries.size());
        if (entries.get(1 - index).isReady() || random.nextInt(5) == 0) {
            entries.get(index).restart(kill);
        }
    }

    /** Writes a new version of the configuration. */
    synchronized void configure() {
        int version = configurationVersion.incrementAndGet();
        store.put("op/config", EntryFixture.configuration(version, "\"key-1\"", MAXIMUM_BODY_BYTES + version));
    }

    /**
     * Takes the store away and restores it from a copy that is up to seconds old. The operator and the instances write
     * again what they wrote since the copy.
     */
    synchronized void restoreStore(UniformRandomProvider random) {
        store.takeCopy();
        LockSupport.parkNanos(random.nextInt(MAXIMUM_COPY_AGE_MILLIS) * 1_000_000L);
        store.setUnavailable(true);
        Disturbance.pause(random);
        store.restore();
        store.setUnavailable(false);
        Disturbance.pause(random);
        int version = configurationVersion.get();
        store.put("op/config", EntryFixture.configuration(version, "\"key-1\"", MAXIMUM_BODY_BYTES + version));
        for (Place place : places) {
            synchronized (place) {
                store.put("servers/" + place.instance.id(), place.instance.registration("ready"));
            }
        }
        // The registrations that the copy holds of ended instances end with their leases.
        endedInstances.stream()
                .map(id -> "servers/" + id)
                .filter(key -> !store.value(key).isEmpty())
                .forEach(store::remove);
    }

    private StutteringInstance startInstance(String service, int port) throws IOException {
        String id = "i-" + instanceCount.incrementAndGet();
        StutteringInstance instance = new StutteringInstance(id, service, port, seed, ledger);
        store.put("servers/" + id, instance.registration("ready"));
        return instance;
    }

    /** Ends an instance and starts one with another id at its port. Its registration goes before or after that. */
    void replaceInstance(UniformRandomProvider random, boolean announced) throws IOException {
        Place place = places.get(random.nextInt(places.size()));
        synchronized (place) {
            String key = "servers/" + place.instance.id();
            if (announced) {
                store.put(key, place.instance.registration("draining"));
                Disturbance.pause(random);
            }
            endedInstances.add(place.instance.id());
            place.instance.close();
            boolean removedFirst = announced || random.nextBoolean();
            if (removedFirst) {
                store.remove(key);
            }
            Disturbance.pause(random);
            place.instance = startInstance(place.service, place.port);
            if (!removedFirst) {
                Disturbance.pause(random);
                store.remove(key);
            }
        }
    }

    @Override
    public void close() throws Exception {
        for (EntryProcess entry : entries) {
            entry.close();
        }
        for (Place place : places) {
            place.instance.close();
        }
        store.close();
    }
}
