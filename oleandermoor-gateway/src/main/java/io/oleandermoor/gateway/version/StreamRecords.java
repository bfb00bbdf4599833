package io.oleandermoor.gateway.version;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.StreamKey;
import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Remembers which version brought the first event of each stream of this entry, and shares that with the other entries
 * through the store while a service has several versions. Where a service has one version only, that one began every
 * stream, and nothing is written. Used on the event loop only.
 */
// Calls complete with a response or a timeout, and tasks run until the event loop ends, so neither is cancelled.
@SuppressWarnings({"FutureReturnValueIgnored", "CheckReturnValue"})
public final class StreamRecords implements StreamOrigins {

    private static final Logger LOG = LogManager.getLogger(StreamRecords.class);
    /** Time for which a stream is remembered; callers take streams up within their deadlines. */
    static final long MEMORY_MILLIS = 60_000;

    /** Maximum number of streams that are written at once, well below what the store accepts as a value. */
    private static final int MAXIMUM_BATCH_STREAMS = 2_000;
    /** Batches that callers may need at once are written at intervals shorter by this factor. */
    private static final int URGENT_INTERVAL_DIVISOR = 3;

    private final EventLoop loop;
    private final VersionRegistry registry;
    private final StreamRecordStore recordStore;
    private final SharedRead recordRead;
    private final LongSupplier publicationIntervalMillis;
    /** In the order of their first events. */
    private final Map<StreamKey, Origin> own = new LinkedHashMap<>();

    private final Map<StreamKey, Origin> unpublished = new LinkedHashMap<>();
    /** The services with several versions at the latest change. */
    private Set<String> sharedServices = Set.of();

    private Future<?> publicationTimer = CompletableFuture.completedFuture(null);
    private long publicationDueMillis = Long.MAX_VALUE;
    private long lastPublicationMillis = Long.MIN_VALUE / 2;
    private boolean publishing;
    private boolean publishAgain;

    /** What began a stream. */
    private record Origin(String service, SoftwareVersion version, long recordedMillis) {}

    /**
     * Creates records that have not started.
     *
     * @param loop the event loop
     * @param registry knows the versions of each service
     * @param recordStore the records in the store
     * @param publicationIntervalMillis the time in which new records are gathered before they are written
     */
    public StreamRecords(
            EventLoop loop,
            VersionRegistry registry,
            StreamRecordStore recordStore,
            LongSupplier publicationIntervalMillis) {
        this.loop = loop;
        this.registry = registry;
        this.recordStore = recordStore;
        this.recordRead = new SharedRead(loop, registry::readIntervalMillis, recordStore::read);
        this.publicationIntervalMillis = publicationIntervalMillis;
    }

    /** Starts to publish records when a service gets a second version. */
    public void start() {
        registry.setChangeListener(this::publishServicesWithSeveralVersions);
        recordStore.setLossListener(() -> {
            sharedServices = Set.of();
            publishServicesWithSeveralVersions();
        });
    }

    /** Adds the streams that began while their service had one version only. */
    private void publishServicesWithSeveralVersions() {
        forgetOld();
        Map<String, Boolean> several = new HashMap<>();
        own.forEach((key, origin) -> {
            boolean shared = several.computeIfAbsent(origin.service(), registry::hasSeveralVersions);
            if (shared && !sharedServices.contains(origin.service())) {
                unpublished.put(key, origin);
            }
        });
        several.values().removeIf(shared -> !shared);
        sharedServices = several.keySet();
        schedulePublication();
    }

    private void forgetOld() {
        long oldestMillis = Timestamp.monotonicNowMillis() - MEMORY_MILLIS;
        forgetBefore(own, oldestMillis);
        forgetBefore(unpublished, oldestMillis);
    }

    /** Removes the first streams, which are the oldest. */
    private static void forgetBefore(Map<StreamKey, Origin> origins, long oldestMillis) {
        Iterator<Origin> oldest = origins.values().iterator();
        while (oldest.hasNext() && oldest.next().recordedMillis() < oldestMillis) {
            oldest.remove();
        }
    }

    @Override
    public void recordFirstEvent(String service, StreamKey attempt, SoftwareVersion version) {
        forgetOld();
        Origin origin = new Origin(service, version, Timestamp.monotonicNowMillis());
        own.put(attempt, origin);
        if (registry.hasSeveralVersions(service)) {
            unpublished.put(attempt, origin);
            schedulePublication();
        }
    }

    private void schedulePublication() {
        schedulePublication(Timestamp.monotonicNowMillis() + publicationIntervalMillis.getAsLong());
    }

    private void schedulePublication(long dueMillis) {
        if (publishing || unpublished.isEmpty() || dueMillis >= publicationDueMillis) {
            return;
        }
        publicationTimer.cancel(false);
        publicationDueMillis = dueMillis;
        long delayMillis = Math.max(0, dueMillis - Timestamp.monotonicNowMillis());
        publicationTimer = loop.schedule(this::publishBatch, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void publish() {
        long earliestMillis = lastPublicationMillis + publicationIntervalMillis.getAsLong() / URGENT_INTERVAL_DIVISOR;
        if (publishing) {
            publishAgain = true;
        } else if (earliestMillis <= Timestamp.monotonicNowMillis()) {
            publishBatch();
        } else {
            schedulePublication(earliestMillis);
        }
    }

    private void publishBatch() {
        publicationTimer.cancel(false);
        publicationDueMillis = Long.MAX_VALUE;
        forgetOld();
        if (publishing || unpublished.isEmpty()) {
            return;
        }
        publishing = true;
        publishAgain = false;
        lastPublicationMillis = Timestamp.monotonicNowMillis();
        Map<StreamKey, SoftwareVersion> batch = new LinkedHashMap<>();
        unpublished.entrySet().stream()
                .limit(MAXIMUM_BATCH_STREAMS)
                .forEach(each -> batch.put(each.getKey(), each.getValue().version()));
        recordStore
                .append(batch)
                .subscribe(
                        () -> {
                            publishing = false;
                            unpublished.keySet().removeAll(batch.keySet());
                            if (publishAgain || batch.size() == MAXIMUM_BATCH_STREAMS) {
                                publish();
                            }
                            schedulePublication();
                        },
                        cause -> {
                            LOG.info(
                                    "event=streams_not_published streams={} cause=\"{}\"",
                                    batch.size(),
                                    cause.getMessage());
                            publishing = false;
                            schedulePublication();
                        });
    }

    @Override
    public Single<Optional<SoftwareVersion>> find(String service, Optional<StreamKey> attempt) {
        Optional<SoftwareVersion> known = attempt.flatMap(this::findKnown);
        if (known.isPresent()) {
            return Single.just(known);
        }
        return registry.findSoleVersion(service).flatMap(sole -> {
            if (sole.isPresent() || attempt.isEmpty() || !registry.hasSeveralVersions(service)) {
                return Single.just(sole);
            }
            return recordRead.request().map(done -> findKnown(attempt.get()));
        });
    }

    private Optional<SoftwareVersion> findKnown(StreamKey attempt) {
        Origin origin = own.get(attempt);
        return origin == null ? recordStore.find(attempt) : Optional.of(origin.version());
    }
}
