package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StaleEraException;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreLease;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Registers this entry in the store under a lease and watches the registrations of other entries. Used on the event
 * loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class EntryMembership {

    /** Prefix of the keys under which entries are registered. */
    static final String KEY_PREFIX = "oleandermoor/entries/";

    private static final Logger LOG = LogManager.getLogger(EntryMembership.class);
    /** Exceeds the time for which an entry serves without a confirmed configuration, so that it stays registered. */
    private static final long LEASE_DURATION_MILLIS = 7_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 300;
    /** Batches the registrations of entries that start together, which all register within a second. */
    private static final long BATCH_DELAY_MILLIS = 400;

    private static final StoreFollower.WatchTiming WATCH_TIMING =
            new StoreFollower.WatchTiming(8_000, () -> BATCH_DELAY_MILLIS, 15_000);

    private final EventLoop loop;
    private final StoreClient store;
    private final DeploymentView view;
    private final Address ownAddress;
    private final Map<String, InetSocketAddress> peers = new HashMap<>();
    private @Nullable StoreLease lease;
    private boolean registering;

    /**
     * Creates a membership that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param view the view to update
     * @param ownAddress the address at which this entry receives reports of other entries
     */
    public EntryMembership(EventLoop loop, StoreClient store, DeploymentView view, Address ownAddress) {
        this.loop = loop;
        this.store = store;
        this.view = view;
        this.ownAddress = ownAddress;
    }

    /** Registers this entry and starts watching the others. */
    public void start() {
        store.addEraListener((era, restored) -> {
            if (restored) {
                registerAgain(era);
            }
        });
        register();
        new StoreFollower(loop, store, KEY_PREFIX, WATCH_TIMING, new EntryListener()).start();
    }

    /** Registers this entry at once, because the copy from which the store was restored may lack its registration. */
    private void registerAgain(long era) {
        if (!view.isStopping() && !registering) {
            LOG.info("event=register_again entry={} era={}", view.entry(), era);
            register();
        }
    }

    /** Returns the report addresses of the other entries by entry name. */
    public Map<String, InetSocketAddress> peers() {
        return peers;
    }

    private void register() {
        registering = true;
        long era = store.era();
        String key = KEY_PREFIX + view.entry();
        byte[] value = ownAddress.toString().getBytes(StandardCharsets.UTF_8);
        store.grantLease(LEASE_DURATION_MILLIS)
                .flatMap(granted -> {
                    lease = granted;
                    return store.read(key)
                            .flatMap(item -> {
                                long revision = item.map(StoreItem::revision).orElse(0L);
                                return store.write(
                                        granted.era(),
                                        List.of(new StoreClient.ConditionalWrite(key, revision, value, granted.id())));
                            })
                            .map(revision -> new Registration(granted, revision));
                })
                .subscribe(this::registered, cause -> {
                    LOG.warn("event=registration_failed entry={} cause=\"{}\"", view.entry(), cause.getMessage());
                    boolean eraRisen = cause instanceof StaleEraException && store.era() != era;
                    long delayMillis = eraRisen ? 0 : RETRY_DELAY_MILLIS;
                    loop.schedule(this::register, delayMillis, TimeUnit.MILLISECONDS);
                });
    }

    private void registered(Registration registration) {
        registering = false;
        view.setRegistered(true);
        LOG.info(
                "event=registered entry={} lease={} revision={} era={}",
                view.entry(),
                registration.lease().id(),
                registration.revision(),
                registration.lease().era());
        scheduleRenewal(registration.lease(), RENEWAL_INTERVAL_MILLIS);
    }

    private void scheduleRenewal(StoreLease granted, long delayMillis) {
        loop.schedule(() -> renew(granted), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void renew(StoreLease granted) {
        // After a restore, the registration under a new lease starts renewals of its own.
        if (view.isStopping() || granted.era() != store.era()) {
            return;
        }
        store.renewLease(granted).subscribe(() -> scheduleRenewal(granted, RENEWAL_INTERVAL_MILLIS), cause -> {
            if (cause instanceof StoreStatusException exception && exception.notFound()) {
                LOG.warn("event=registration_lost entry={} lease={}", view.entry(), granted.id());
                register();
            } else {
                scheduleRenewal(granted, RETRY_DELAY_MILLIS);
            }
        });
    }

    /** Ends the lease, which removes the registration of this entry. */
    public Single<Boolean> leave() {
        return Maybe.fromOptional(Optional.ofNullable(lease))
                .flatMapCompletable(store::revokeLease)
                .toSingleDefault(true);
    }

    private record Registration(StoreLease lease, long revision) {}

    private final class EntryListener implements StoreFollower.Listener {

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
            if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
                peers.clear();
            }
            onChanges(reading, confirmedAt);
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
            for (StoreItem item : reading.items()) {
                String name = item.key().substring(Math.min(item.key().length(), KEY_PREFIX.length()));
                if (name.equals(view.entry())) {
                    continue;
                }
                if (!item.removed()) {
                    putPeer(name, item);
                } else if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
                    // Otherwise a lease from the copy may have ended before its entry registered again.
                    peers.remove(name);
                }
            }
            view.setPeers(peers.keySet());
        }

        private void putPeer(String name, StoreItem item) {
            try {
                String text = new String(item.value(), StandardCharsets.UTF_8);
                peers.put(name, Address.parse(text).toSocketAddress());
            } catch (IllegalArgumentException exception) {
                LOG.warn("event=entry_unreadable entry={} cause=\"{}\"", name, exception.getMessage());
            }
        }
    }
}
