package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreException;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReading;
import io.oleandermoor.transport.settings.Address;
import io.reactivex.rxjava3.core.Single;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Registers this entry under a lease and follows the registrations of the others. Used on the event loop only. */
// Calls end by themselves with an answer or a time-out, and tasks run until the loop ends: neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class Membership {

    /** The start of the keys under which entries are registered. */
    static final String PREFIX = "oleandermoor/entries/";

    private static final Logger LOG = LogManager.getLogger(Membership.class);
    /** Longer than an entry serves without a confirmed configuration, so that one that serves is always registered. */
    private static final long LEASE_MILLIS = 7_000;

    private static final long RENEW_MILLIS = 1_500;
    private static final long RETRY_MILLIS = 300;
    /** Entries that start together register within a second; their changes gather into few calls. */
    private static final long GAP_MILLIS = 400;

    private static final StoreFollower.Pace PACE = new StoreFollower.Pace(8_000, () -> GAP_MILLIS, 15_000);

    private final EventLoop loop;
    private final StoreClient store;
    private final DeploymentView view;
    private final Address ownAddress;
    private final Map<String, InetSocketAddress> peers = new HashMap<>();
    private long lease;

    /**
     * Creates a membership that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param view where the members are noted
     * @param ownAddress the address for reports of other entries
     */
    public Membership(EventLoop loop, StoreClient store, DeploymentView view, Address ownAddress) {
        this.loop = loop;
        this.store = store;
        this.view = view;
        this.ownAddress = ownAddress;
    }

    /** Registers this entry and starts to follow the others. */
    public void start() {
        register();
        new StoreFollower(loop, store, PREFIX, PACE, new Entries()).start();
    }

    /** Returns the addresses of the other entries by their names. */
    public Map<String, InetSocketAddress> peers() {
        return peers;
    }

    private void register() {
        String key = PREFIX + view.entry();
        byte[] value = ownAddress.toString().getBytes(StandardCharsets.UTF_8);
        store.grantLease(LEASE_MILLIS)
                .flatMap(granted -> {
                    lease = granted;
                    return store.read(key).flatMap(item -> {
                        long revision = item.map(StoreItem::revision).orElse(0L);
                        return store.write(List.of(new StoreClient.ConditionalWrite(key, revision, value, granted)));
                    });
                })
                .subscribe(
                        revision -> {
                            view.setRegistered(true);
                            LOG.info("event=registered entry={} lease={} revision={}", view.entry(), lease, revision);
                            loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
                        },
                        cause -> {
                            LOG.warn(
                                    "event=registration_failed entry={} cause=\"{}\"",
                                    view.entry(),
                                    cause.getMessage());
                            loop.schedule(this::register, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                        });
    }

    private void renew() {
        if (view.isStopping()) {
            return;
        }
        store.renewLease(lease)
                .subscribe(() -> loop.schedule(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS), cause -> {
                    if (cause instanceof StoreException answer && answer.leaseOver()) {
                        LOG.warn("event=registration_lost entry={} lease={}", view.entry(), lease);
                        register();
                    } else {
                        loop.schedule(this::renew, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Ends the registration. */
    public Single<Boolean> leave() {
        return store.endLease(lease).toSingleDefault(true);
    }

    private final class Entries implements StoreFollower.Listener {

        @Override
        public void all(StoreReading reading, Timestamp current) {
            peers.clear();
            changes(reading, current);
        }

        @Override
        public void changes(StoreReading reading, Timestamp current) {
            for (StoreItem item : reading.items()) {
                String name = item.key().substring(Math.min(item.key().length(), PREFIX.length()));
                if (name.equals(view.entry())) {
                    continue;
                }
                if (item.removed()) {
                    peers.remove(name);
                } else {
                    put(name, item);
                }
            }
            view.setPeers(peers.keySet());
        }

        private void put(String name, StoreItem item) {
            try {
                String text = new String(item.value(), StandardCharsets.UTF_8);
                peers.put(name, Address.parse(text).toSocketAddress());
            } catch (IllegalArgumentException exception) {
                LOG.warn("event=entry_unreadable entry={} cause=\"{}\"", name, exception.getMessage());
            }
        }
    }
}
