package io.oleandermoor.gateway.version;

import com.fasterxml.jackson.jr.ob.JSON;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreLease;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.StoreStatusException;
import io.oleandermoor.state.version.SoftwareVersion;
import io.oleandermoor.state.version.StreamKey;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The versions that began streams, in the store. Each entry appends to a segment of its own, which is written again
 * with each batch until it is full; a lease removes it when its streams are over. Segments are read only when a stream
 * is taken up that this entry does not know. Used on the event loop only.
 */
public final class StreamRecordStore {

    private static final Logger LOG = LogManager.getLogger(StreamRecordStore.class);
    private static final String KEY_PREFIX = "oleandermoor/streams/";
    /** Number of streams from which a segment is full: it is written with each batch. */
    private static final int MAXIMUM_SEGMENT_STREAMS = 100;
    /** Time after which a lease is used for no further segments, so that segments are not kept for long. */
    private static final long LEASE_USE_MILLIS = 20_000;

    private static final long LEASE_DURATION_MILLIS = StreamRecords.MEMORY_MILLIS + LEASE_USE_MILLIS;
    /** A watch for what is there already. */
    private static final long WATCH_MILLIS = 1;

    private final StoreClient store;
    private final String keyPrefix;
    private final Map<String, Segment> segments = new LinkedHashMap<>();
    private final Map<StreamKey, SoftwareVersion> openSegment = new LinkedHashMap<>();
    private Runnable lossListener = () -> {};
    private long openSegmentRevision;
    private long segmentCount;
    private @Nullable StoreLease lease;
    private Timestamp leaseGrantedAt = Timestamp.now();
    private Optional<Long> readRevision = Optional.empty();

    /** The streams of a segment by version, with the time of the read. */
    private record Segment(Map<SoftwareVersion, long[]> streams, long readMillis) {}

    /**
     * Creates a store of records.
     *
     * @param store the store
     * @param entry the name of this entry
     */
    public StreamRecordStore(StoreClient store, String entry) {
        this.store = store;
        // A process does not know the revisions of the segments that an earlier one has written.
        this.keyPrefix =
                KEY_PREFIX + entry + "/" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
        store.addEraListener((era, restored) -> {
            if (restored) {
                forget();
            }
        });
    }

    /** Sets the listener that runs when what was written may be lost. */
    void setLossListener(Runnable listener) {
        lossListener = listener;
    }

    private void forget() {
        lease = null;
        readRevision = Optional.empty();
        segments.clear();
        beginSegment();
        lossListener.run();
    }

    private void beginSegment() {
        openSegment.clear();
        openSegmentRevision = 0;
        segmentCount++;
    }

    /** Appends streams. If it fails, they may have been appended, and may be so again. */
    Completable append(Map<StreamKey, SoftwareVersion> streams) {
        boolean leaseUsable = lease != null && leaseGrantedAt.ageMillis() < LEASE_USE_MILLIS;
        if (openSegment.size() >= MAXIMUM_SEGMENT_STREAMS || !leaseUsable) {
            beginSegment();
        }
        openSegment.putAll(streams);
        StoreLease usable = lease;
        Single<StoreLease> current = leaseUsable && usable != null ? Single.just(usable) : grantLease();
        return current.flatMap(granted -> store.write(
                        granted.era(),
                        List.of(new StoreClient.ConditionalWrite(
                                keyPrefix + segmentCount, openSegmentRevision, encode(openSegment), granted.id()))))
                .doOnSuccess(revision -> openSegmentRevision = revision)
                .doOnError(cause -> {
                    // The revision of the segment is unknown now, and the lease may have ended.
                    lease = null;
                    beginSegment();
                })
                .ignoreElement();
    }

    private Single<StoreLease> grantLease() {
        Timestamp requestedAt = Timestamp.now();
        return store.grantLease(LEASE_DURATION_MILLIS).doOnSuccess(granted -> {
            lease = granted;
            leaseGrantedAt = requestedAt;
        });
    }

    /** Reads what was appended by all entries since the last read. */
    Completable read() {
        Single<StoreReadResult> changes = readRevision
                .map(revision -> store.watch(KEY_PREFIX, revision, WATCH_MILLIS))
                .orElseGet(() -> store.list(KEY_PREFIX));
        return changes.doOnSuccess(this::apply)
                .onErrorResumeNext(cause -> cause instanceof StoreStatusException failure && failure.historyCompacted()
                        ? readAll()
                        : Single.error(cause))
                .doOnError(cause -> LOG.info("event=streams_not_read cause=\"{}\"", cause.getMessage()))
                .ignoreElement();
    }

    private Single<StoreReadResult> readAll() {
        readRevision = Optional.empty();
        return store.list(KEY_PREFIX).doOnSuccess(this::apply);
    }

    private void apply(StoreReadResult reading) {
        long now = Timestamp.monotonicNowMillis();
        long revision = readRevision.isEmpty() ? reading.storeRevision() : readRevision.get();
        for (StoreItem item : reading.items()) {
            revision = Math.max(revision, item.revision());
            if (!item.removed()) {
                decode(item).ifPresent(streams -> segments.put(item.key(), new Segment(streams, now)));
            }
        }
        readRevision = Optional.of(revision);
        Iterator<Segment> oldest = segments.values().iterator();
        while (oldest.hasNext()) {
            if (now - oldest.next().readMillis() > LEASE_DURATION_MILLIS) {
                oldest.remove();
            }
        }
    }

    /** Returns the version that began a stream, from what has been read; empty if none or several are known. */
    Optional<SoftwareVersion> find(StreamKey stream) {
        Optional<SoftwareVersion> found = Optional.empty();
        for (Segment segment : segments.values()) {
            for (Map.Entry<SoftwareVersion, long[]> each : segment.streams().entrySet()) {
                if (contains(each.getValue(), stream.fingerprint())) {
                    if (found.isPresent() && !found.get().equals(each.getKey())) {
                        LOG.warn("event=stream_of_several_versions versions={},{}", found.get(), each.getKey());
                        return Optional.empty();
                    }
                    found = Optional.of(each.getKey());
                }
            }
        }
        return found;
    }

    private static boolean contains(long[] fingerprints, long wanted) {
        for (long fingerprint : fingerprints) {
            if (fingerprint == wanted) {
                return true;
            }
        }
        return false;
    }

    private static byte[] encode(Map<StreamKey, SoftwareVersion> streams) {
        Map<String, List<StreamKey>> byVersion = new HashMap<>();
        streams.forEach((key, version) -> byVersion
                .computeIfAbsent(version.text(), text -> new ArrayList<>())
                .add(key));
        Map<String, String> fields = new HashMap<>();
        byVersion.forEach((version, keys) -> {
            ByteBuffer fingerprints = ByteBuffer.allocate(keys.size() * Long.BYTES);
            keys.forEach(key -> fingerprints.putLong(key.fingerprint()));
            fields.put(version, Base64.getEncoder().encodeToString(fingerprints.array()));
        });
        try {
            return JSON.std.asBytes(fields);
        } catch (IOException exception) {
            throw new IllegalStateException("a map of texts was not encoded", exception);
        }
    }

    private static Optional<Map<SoftwareVersion, long[]>> decode(StoreItem item) {
        Map<SoftwareVersion, long[]> streams = new HashMap<>();
        try {
            JSON.std.mapFrom(item.value()).forEach((version, text) -> {
                ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(String.valueOf(text)));
                long[] fingerprints = new long[bytes.remaining() / Long.BYTES];
                bytes.asLongBuffer().get(fingerprints);
                streams.put(new SoftwareVersion(version), fingerprints);
            });
            return Optional.of(streams);
        } catch (IOException | IllegalArgumentException exception) {
            LOG.warn("event=streams_unreadable key={} cause=\"{}\"", item.key(), exception.getMessage());
            return Optional.empty();
        }
    }
}
