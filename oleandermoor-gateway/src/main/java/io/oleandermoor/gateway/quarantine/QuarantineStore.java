package io.oleandermoor.gateway.quarantine;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps quarantines in the store until they end, for the case that all entries end at once, and reads them when this
 * entry starts. Used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class QuarantineStore {

    private static final Logger LOG = LogManager.getLogger(QuarantineStore.class);
    private static final String KEY_PREFIX = "oleandermoor/quarantines/";
    private static final long RETRY_DELAY_MILLIS = 500;
    /** One entry writes a quarantine within it, and the others find it written. */
    private static final long MAXIMUM_RESTORE_DELAY_MILLIS = 1_000;

    private static final String REPEATED = "repeated";
    private static final String FIRST = "first";

    private final EventLoop loop;
    private final StoreClient store;
    private final QuarantineCoordinator coordinator;

    /**
     * Creates a store client that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param coordinator the coordinator whose quarantines are kept
     */
    public QuarantineStore(EventLoop loop, StoreClient store, QuarantineCoordinator coordinator) {
        this.loop = loop;
        this.store = store;
        this.coordinator = coordinator;
    }

    /** Reads the quarantines that entries have begun before, and keeps those that begin from now on. */
    public void start() {
        coordinator.addBeginListener(this::write);
        store.addEraListener((era, restored) -> {
            if (restored) {
                writeAgain();
            }
        });
        read();
    }

    private void read() {
        store.list(KEY_PREFIX).subscribe(this::restore, cause -> {
            LOG.info("event=quarantines_not_read cause=\"{}\"", cause.getMessage());
            loop.schedule(this::read, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Writes all active quarantines, which the copy may lack. Each entry does, after a delay that spreads them. */
    private void writeAgain() {
        for (Quarantine quarantine : List.copyOf(coordinator.active())) {
            long delayMillis = ThreadLocalRandom.current().nextLong(MAXIMUM_RESTORE_DELAY_MILLIS);
            loop.schedule(() -> write(quarantine), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void restore(StoreReadResult reading) {
        for (StoreItem item : reading.items()) {
            List<String> fields = List.of(new String(item.value(), StandardCharsets.UTF_8).split(" "));
            try {
                long untilMillis = Timestamp.monotonicNowMillis() + Long.parseLong(fields.get(0));
                boolean repeated = fields.contains(REPEATED);
                Set<String> companions = Set.copyOf(fields.subList(Math.min(2, fields.size()), fields.size()));
                coordinator.restore(
                        new Quarantine(item.key().substring(KEY_PREFIX.length()), companions, untilMillis, repeated),
                        "store");
            } catch (NumberFormatException exception) {
                LOG.warn("event=quarantine_unreadable key={} cause=\"{}\"", item.key(), exception.getMessage());
            }
        }
    }

    /** Writes a quarantine under a lease that ends with it, and again if the store does not answer. */
    private void write(Quarantine quarantine) {
        long remainingMillis = quarantine.untilMillis() - Timestamp.monotonicNowMillis();
        if (remainingMillis <= 0) {
            return;
        }
        String key = KEY_PREFIX + quarantine.trait();
        String kind = quarantine.repeated() ? REPEATED : FIRST;
        String companions = String.join(" ", quarantine.companions());
        byte[] value = (remainingMillis + " " + kind + " " + companions).trim().getBytes(StandardCharsets.UTF_8);
        store.read(key)
                .flatMap(item -> item.filter(known -> isOfKind(known, kind)).isPresent()
                        ? Single.just(item.get().revision())
                        : store.grantLease(remainingMillis).flatMap(lease -> {
                            long revision = item.map(StoreItem::revision).orElse(0L);
                            return store.write(
                                    lease.era(),
                                    List.of(new StoreClient.ConditionalWrite(key, revision, value, lease.id())));
                        }))
                .subscribe(
                        revision ->
                                LOG.info("event=quarantine_stored trait={} revision={}", quarantine.trait(), revision),
                        cause -> handleFailure(quarantine, cause));
    }

    private static boolean isOfKind(StoreItem item, String kind) {
        return new String(item.value(), StandardCharsets.UTF_8).contains(" " + kind);
    }

    private void handleFailure(Quarantine quarantine, Throwable cause) {
        LOG.info("event=quarantine_not_stored trait={} cause=\"{}\"", quarantine.trait(), cause.getMessage());
        // Another entry has written the same quarantine in the meantime if the condition did not hold.
        if (!(cause instanceof StoreStatusException failure && failure.conflict())) {
            loop.schedule(() -> write(quarantine), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
