package io.oleandermoor.standin.engine;

import io.oleandermoor.transport.http.EventStream;
import io.oleandermoor.transport.http.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Publishes which prefix blocks were stored, late and with gaps. The sequence number shows a gap. */
final class CacheEvents implements AutoCloseable {

    private static final long SEED = 7;

    private final Supplier<EngineFaults> faults;

    private final List<EventStream> subscribers = new CopyOnWriteArrayList<>();

    private final AtomicLong sequence = new AtomicLong();

    private final SplittableRandom random = new SplittableRandom(SEED);

    private final ScheduledExecutorService delays = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "engine-cache-events");
        thread.setDaemon(true);
        return thread;
    });

    CacheEvents(Supplier<EngineFaults> faults) {
        this.faults = faults;
    }

    void subscribe(HttpExchange exchange) {
        EventStream[] opened = new EventStream[1];
        opened[0] = exchange.startEventStream(Map.of(), () -> subscribers.remove(opened[0]));
        subscribers.add(opened[0]);
    }

    void stored(List<Integer> blocks) {
        long number = sequence.incrementAndGet();
        EngineFaults current = faults.get();
        if (subscribers.isEmpty() || random.nextDouble() < current.loseCacheEvents()) {
            return;
        }
        byte[] event =
                ("data: {\"sequence\":" + number + ",\"stored\":" + blocks + "}\n\n").getBytes(StandardCharsets.UTF_8);
        var unused = delays.schedule(
                () -> subscribers.forEach(subscriber -> subscriber.send(event)),
                current.cacheEventLagMillis(),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        delays.shutdownNow();
    }
}
