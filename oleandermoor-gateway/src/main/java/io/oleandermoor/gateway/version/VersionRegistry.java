package io.oleandermoor.gateway.version;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.follow.StoreFollower;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.VersionPolicy;
import io.oleandermoor.state.version.VersionRoster;
import io.oleandermoor.state.version.VersionRoster.Use;
import io.oleandermoor.state.version.VersionRoster.UsedVersion;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps in the store which software versions of each service with streams are in use, so that entries that all start
 * anew know of versions whose instances have left. Written only when that changes. Used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class VersionRegistry {

    private static final Logger LOG = LogManager.getLogger(VersionRegistry.class);
    private static final String KEY_PREFIX = "oleandermoor/versions/";
    /** Time for which a version stays recorded after its last instance has left; longer than any stream lasts. */
    private static final long RETENTION_MILLIS = 120_000;

    /**
     * Time for which no instance states a version before it counts as left; entries differ in their view until then.
     */
    private static final long LEFT_DELAY_MILLIS = 5_000;

    private static final StoreFollower.WatchTiming FOLLOWER_TIMING =
            new StoreFollower.WatchTiming(20_000, () -> 0, 60_000);
    /** Changes of instances within this time are handled together. */
    private static final long UPDATE_DELAY_MILLIS = 10;
    /** Interval between the first entries that may write a record, so that mostly one of them does. */
    private static final long WRITE_INTERVAL_MILLIS = 40;
    /** Number of entries that write after one another; all others follow in no order if these do not. */
    private static final int FIRST_WRITERS = 3;
    /** Time after which a write that failed is tried again. */
    private static final long RETRY_INTERVAL_MILLIS = 250;
    /** Interval of the writes of all other entries on average. */
    private static final long LATE_WRITE_INTERVAL_MILLIS = 5;

    private static final long MINIMUM_READ_INTERVAL_MILLIS = 20;
    /** With it, all entries together send at most 1,000 reads in a second. */
    private static final long READ_INTERVAL_MILLIS_PER_ENTRY = 1;

    private final EventLoop loop;
    private final StoreClient store;
    private final DeploymentView view;
    private final VersionRoster roster = new VersionRoster();
    private final Set<UsedVersion> scheduledWrites = new HashSet<>();
    private final SharedRead confirmation;
    private Runnable changeListener = () -> {};
    private boolean updateScheduled;
    private long handledChangeCount = -1;

    /**
     * Creates a registry that has not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param view the instances and the other entries
     */
    public VersionRegistry(EventLoop loop, StoreClient store, DeploymentView view) {
        this.loop = loop;
        this.store = store;
        this.view = view;
        this.confirmation = new SharedRead(loop, this::readIntervalMillis, this::readAll);
    }

    /** Returns the interval at which the reads of all entries together stay within the limit of the store. */
    long readIntervalMillis() {
        return Math.max(MINIMUM_READ_INTERVAL_MILLIS, view.entryCount() * READ_INTERVAL_MILLIS_PER_ENTRY);
    }

    /** Starts to follow the records and to write those that the store lacks. */
    public void start() {
        new StoreFollower(loop, store, KEY_PREFIX, FOLLOWER_TIMING, new RecordListener()).start();
        view.addChangeListener(this::scheduleUpdate);
    }

    /** Returns which versions streams may use. */
    public VersionPolicy policy() {
        return roster;
    }

    /** Sets the listener that runs when the versions of a service have changed. */
    void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    boolean hasSeveralVersions(String service) {
        return roster.hasSeveralVersions(service);
    }

    /**
     * Returns the version that began every stream of a service up to now; empty if there are several or the store does
     * not confirm that there are none that this entry has not heard of.
     */
    Single<Optional<SoftwareVersion>> findSoleVersion(String service) {
        if (roster.hasSeveralVersions(service)) {
            return Single.just(Optional.empty());
        }
        Optional<SoftwareVersion> unstated = roster.soleVersion(service).filter(version -> !version.isStated());
        if (unstated.isPresent()) {
            // Take-ups of a deployment without versions do not depend on the store.
            return Single.just(unstated);
        }
        return confirmation.request().map(confirmed -> confirmed ? roster.soleVersion(service) : Optional.empty());
    }

    private Completable readAll() {
        return store.list(KEY_PREFIX)
                .doOnSuccess(reading -> replaceRecorded(decodeAll(reading).values()))
                .doOnError(cause -> LOG.info("event=versions_not_confirmed cause=\"{}\"", cause.getMessage()))
                .ignoreElement();
    }

    private static Map<String, UsedVersion> decodeAll(StoreReadResult reading) {
        Map<String, UsedVersion> itemsByKey = new HashMap<>();
        reading.items().forEach(item -> decode(item).ifPresent(used -> itemsByKey.put(item.key(), used)));
        return itemsByKey;
    }

    private void replaceRecorded(Collection<UsedVersion> items) {
        roster.replaceRecorded(items);
        scheduleUpdate();
    }

    private void scheduleUpdate() {
        if (!updateScheduled) {
            updateScheduled = true;
            loop.schedule(this::update, UPDATE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void update() {
        updateScheduled = false;
        if (view.document().isEmpty() || !view.areInstancesLoaded()) {
            return;
        }
        roster.setPresent(presentVersions());
        if (roster.changeCount() == handledChangeCount) {
            return;
        }
        long changeCount = roster.changeCount();
        roster.missingRecords().forEach(this::scheduleWrite);
        changeListener.run();
        handledChangeCount = changeCount;
    }

    /** Returns the versions that instances state, by service, of services that have streams. */
    private Map<String, Set<SoftwareVersion>> presentVersions() {
        Set<String> services =
                view.document().map(FleetDocument::streamServices).orElse(Set.of());
        Map<String, Set<SoftwareVersion>> versions = new HashMap<>();
        view.instances().states().forEach(state -> {
            UpstreamInstance instance = state.instance();
            if (services.contains(instance.service())) {
                versions.computeIfAbsent(instance.service(), key -> new HashSet<>())
                        .add(instance.softwareVersion());
            }
        });
        return versions;
    }

    /** Schedules a write, which is not made if another entry makes it before. */
    private void scheduleWrite(UsedVersion item) {
        if (scheduledWrites.add(item)) {
            long rank = view.entryRank();
            long orderMillis = rank < FIRST_WRITERS
                    ? rank * WRITE_INTERVAL_MILLIS
                    : FIRST_WRITERS * WRITE_INTERVAL_MILLIS + randomDelayMillis();
            long delayMillis = item.use() == Use.LEFT ? LEFT_DELAY_MILLIS + orderMillis : orderMillis;
            scheduleWrite(item, delayMillis);
        }
    }

    private void scheduleWrite(UsedVersion item, long delayMillis) {
        loop.schedule(() -> writeIfMissing(item), delayMillis, TimeUnit.MILLISECONDS);
    }

    private long randomDelayMillis() {
        return ThreadLocalRandom.current().nextLong(LATE_WRITE_INTERVAL_MILLIS * view.entryCount());
    }

    private void writeIfMissing(UsedVersion item) {
        if (!roster.isMissing(item)) {
            scheduledWrites.remove(item);
            return;
        }
        String key = key(item);
        store.read(key)
                .flatMap(known -> known.flatMap(VersionRegistry::decode)
                                .filter(item::equals)
                                .isPresent()
                        ? Single.just(false)
                        : write(item, key, known.map(StoreItem::revision).orElse(0L))
                                .map(revision -> true))
                .subscribe(written -> recorded(item, written), cause -> writeFailed(item, cause));
    }

    private Single<Long> write(UsedVersion item, String key, long revision) {
        long era = store.era();
        byte[] value = encode(item);
        Single<Long> lease = item.use() == Use.LEFT
                ? store.grantLease(RETENTION_MILLIS).map(granted -> granted.id())
                : Single.just(0L);
        return lease.flatMap(
                id -> store.write(era, List.of(new StoreClient.ConditionalWrite(key, revision, value, id))));
    }

    private void recorded(UsedVersion item, boolean written) {
        scheduledWrites.remove(item);
        roster.record(item);
        LOG.info(
                "event=version_recorded service={} version={} use={} written={}",
                item.service(),
                item.version(),
                item.use().name().toLowerCase(Locale.ROOT),
                written);
        view.notifyChangeListeners();
    }

    private void writeFailed(UsedVersion item, Throwable cause) {
        LOG.info(
                "event=version_not_recorded service={} version={} cause=\"{}\"",
                item.service(),
                item.version(),
                cause.getMessage());
        scheduleWrite(item, RETRY_INTERVAL_MILLIS + randomDelayMillis());
    }

    private static String key(UsedVersion item) {
        byte[] version = item.version().text().getBytes(StandardCharsets.UTF_8);
        return KEY_PREFIX + item.service() + "/" + UUID.nameUUIDFromBytes(version);
    }

    private static byte[] encode(UsedVersion item) {
        return (urlEncode(item.service()) + " " + urlEncode(item.version().text()) + " "
                        + item.use().name())
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static Optional<UsedVersion> decode(StoreItem item) {
        String[] fields = new String(item.value(), StandardCharsets.UTF_8).split(" ", -1);
        try {
            return Optional.of(new UsedVersion(
                    URLDecoder.decode(fields[0], StandardCharsets.UTF_8),
                    new SoftwareVersion(URLDecoder.decode(fields[1], StandardCharsets.UTF_8)),
                    Use.valueOf(fields[2])));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException exception) {
            LOG.warn("event=version_unreadable key={} cause=\"{}\"", item.key(), exception.toString());
            return Optional.empty();
        }
    }

    private final class RecordListener implements StoreFollower.Listener {

        private Map<String, UsedVersion> byKey = new HashMap<>();

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp current) {
            byKey = decodeAll(reading);
            replaceRecorded(byKey.values());
            view.notifyChangeListeners();
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp current) {
            for (StoreItem item : reading.items()) {
                Optional<UsedVersion> used = item.removed() ? Optional.empty() : decode(item);
                used.ifPresentOrElse(
                        each -> {
                            byKey.put(item.key(), each);
                            roster.record(each);
                        },
                        () -> removed(item.key()));
            }
            if (!reading.items().isEmpty()) {
                view.notifyChangeListeners();
            }
        }

        private void removed(String key) {
            UsedVersion previous = byKey.remove(key);
            if (previous != null) {
                roster.removeRecord(previous.service(), previous.version());
            }
        }
    }
}
