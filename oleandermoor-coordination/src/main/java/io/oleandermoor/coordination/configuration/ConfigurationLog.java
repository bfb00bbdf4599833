package io.oleandermoor.coordination.configuration;

import io.oleandermoor.coordination.configuration.Head.AcceptedChange;
import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.oleandermoor.coordination.store.WriteOutcome;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.InvalidInputException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Accepts changes of the configuration and reads it at the key-value service.
 *
 * <p>The content of a change is written first, under a key of its own. The change is accepted when the head has been
 * moved by compare-and-swap and names that content. Thread-safe. The lock guards only what this log knows and is taken
 * alone.
 */
public final class ConfigurationLog {

    /** The key that is watched for new versions. */
    public static final String HEAD_KEY = "configuration/head";

    static final String CHANGE_PREFIX = "configuration/change/";
    static final String SNAPSHOT_PREFIX = "configuration/snapshot/";
    static final int CHANGES_BETWEEN_SNAPSHOTS = 256;
    /** A process that starts reads the snapshot and all changes since; this bounds the second part. */
    static final long BYTES_BETWEEN_SNAPSHOTS = 1_000_000;

    private static final int MAXIMUM_READS = 4;
    private static final int MAXIMUM_ROUNDS = 4;
    /** More changes are read with one listing, so that a process that starts needs three calls. */
    private static final int MAXIMUM_SINGLE_READS = 3;

    private static final Logger LOG = LogManager.getLogger(ConfigurationLog.class);

    private final KeyValueStore store;
    private final ConditionalWriter writer;
    private final ContentStore contents;
    private final String writerName;
    private final AtomicLong contentSequence = new AtomicLong();
    private final Object lock = new Object();
    private volatile LogState known = LogState.EMPTY;

    /**
     * Creates a log.
     *
     * @param store the key-value service
     * @param scheduler the clock of retries
     * @param writerName text without slashes or line breaks, unique to this process and over restarts
     */
    public ConfigurationLog(KeyValueStore store, Scheduler scheduler, String writerName) {
        if (writerName.indexOf('/') >= 0) {
            throw new IllegalArgumentException("writerName must not have slashes: " + writerName);
        }
        this.store = store;
        this.writerName = writerName;
        writer = new ConditionalWriter(store, scheduler, writerName + "/configuration");
        contents = new ContentStore(store, writer);
    }

    /**
     * Accepts a change against an expected version. A call that failed can be repeated with the same change id, also
     * with another expected version: a change that was accepted is not applied twice.
     *
     * @param changeSet the changes
     * @param expectedVersion the version that the operator has seen
     * @return the answer, or a {@link StoreException} if the service did not answer
     */
    public Single<ChangeAnswer> accept(ChangeSet changeSet, long expectedVersion) {
        if (changeSet.changeId().isEmpty() || changeSet.changeId().length() > 128) {
            throw new IllegalArgumentException("changeId must have 1 to 128 characters");
        }
        return accept(changeSet, expectedVersion, 1);
    }

    /**
     * Reads what has changed after a version.
     *
     * @param version the version that the reader has
     * @return the current configuration, and the changes after the version if they are at hand
     */
    public Single<ConfigurationUpdate> readAfter(long version) {
        return load().map(state -> new ConfigurationUpdate(state.configuration(), state.changesAfter(version)));
    }

    /**
     * Reads what has changed after a version, from a head that a watch reported.
     *
     * @param head the value of {@link #HEAD_KEY}
     * @param version the version that the reader has
     * @return the configuration of that head or a later one
     */
    public Single<ConfigurationUpdate> readAfter(VersionedValue head, long version) {
        return advance(head)
                .onErrorResumeNext(failure -> load())
                .map(state -> new ConfigurationUpdate(state.configuration(), state.changesAfter(version)));
    }

    private Single<ChangeAnswer> accept(ChangeSet changeSet, long expectedVersion, int round) {
        if (round > MAXIMUM_ROUNDS) {
            return Single.error(new StoreException("the head is moved by others too often, or its reads are stale"));
        }
        return load().flatMap(state -> accept(changeSet, expectedVersion, state, round));
    }

    private Single<ChangeAnswer> accept(ChangeSet changeSet, long expectedVersion, LogState state, int round) {
        Long earlier = state.changeIds().get(changeSet.changeId());
        if (earlier != null) {
            return Single.just(new ChangeAnswer.Accepted(earlier));
        }
        if (state.configuration().version() != expectedVersion) {
            return Single.just(new ChangeAnswer.Conflict(state.configuration().version()));
        }
        LogState next;
        try {
            next = state.apply(List.of(changeSet));
        } catch (InvalidInputException exception) {
            return Single.just(new ChangeAnswer.Invalid(exception.findings()));
        }
        long version = next.configuration().version();
        return contents.write(newPath(CHANGE_PREFIX, version), ConfigurationJson.write(changeSet))
                .flatMap(content -> {
                    Head head = state.head().withChange(changeSet.changeId(), content);
                    return writeHead(state, head)
                            .flatMap(outcome -> outcome.applied()
                                    ? Single.just(accepted(changeSet, next.withHead(outcome.revision(), head)))
                                    // Another change or a snapshot came first, or this change took effect and was
                                    // followed by another; the head tells.
                                    : accept(changeSet, expectedVersion, round + 1));
                });
    }

    private ChangeAnswer accepted(ChangeSet changeSet, LogState state) {
        remember(state);
        LOG.info(
                "event=change-accepted version={} change={} author={}",
                state.configuration().version(),
                changeSet.changeId(),
                changeSet.author());
        Head head = state.head();
        if (head.changes().size() >= CHANGES_BETWEEN_SNAPSHOTS || head.changeBytes() >= BYTES_BETWEEN_SNAPSHOTS) {
            // The answer does not wait; a snapshot that fails is tried again after the next change.
            var unused = writeSnapshot(state)
                    .subscribe(
                            () -> LOG.info("event=snapshot-written version={}", head.version()),
                            failure -> LOG.warn(
                                    "event=snapshot-failed version={} error=\"{}\"",
                                    head.version(),
                                    failure.getMessage()));
        }
        return new ChangeAnswer.Accepted(state.configuration().version());
    }

    private Completable writeSnapshot(LogState state) {
        long version = state.configuration().version();
        Snapshot snapshot = new Snapshot(state.configuration().toDocument(), state.changeIds());
        return contents.write(newPath(SNAPSHOT_PREFIX, version), ConfigurationJson.writeValue(snapshot))
                .flatMapCompletable(content -> {
                    Head head = state.head().withSnapshot(content);
                    return writeHead(state, head).flatMapCompletable(outcome -> {
                        if (!outcome.applied()) {
                            return Completable.error(new StoreException("the head was moved meanwhile"));
                        }
                        remember(state.withHead(outcome.revision(), head));
                        return contents.deleteOlder(CHANGE_PREFIX, head.olderSnapshotVersion() + 1)
                                .andThen(contents.deleteOlder(SNAPSHOT_PREFIX, head.olderSnapshotVersion()));
                    });
                });
    }

    private Single<WriteOutcome> writeHead(LogState state, Head head) {
        return writer.write(HEAD_KEY, state.headRevision(), ConfigurationJson.writeValue(head), Optional.empty());
    }

    private String newPath(String prefix, long version) {
        return ContentStore.path(prefix, version, writerName + "-" + contentSequence.incrementAndGet());
    }

    private Single<LogState> load() {
        // A content that is missing was deleted after a later snapshot; reading the head again finds that one.
        return Single.defer(() -> {
                    long knownRevision = known.headRevision();
                    return store.get(HEAD_KEY).flatMap(found -> {
                        long revision = found.map(VersionedValue::revision).orElse(KeyValueStore.ABSENT);
                        if (revision < knownRevision) {
                            return Single.error(new StoreException("the service answered with an old head of revision "
                                    + revision + " after " + knownRevision));
                        }
                        return found.isPresent() ? advance(found.get()) : Single.just(known);
                    });
                })
                .retry(MAXIMUM_READS - 1, MissingContentException.class::isInstance)
                .onErrorResumeNext(failure -> Single.error(
                        failure instanceof MissingContentException
                                ? new StoreException("the configuration cannot be read", failure)
                                : failure));
    }

    private Single<LogState> advance(VersionedValue value) {
        return Single.defer(() -> {
            LogState current = known;
            if (value.revision() <= current.headRevision()) {
                return Single.just(current);
            }
            Head head = ConfigurationJson.readValue(ConditionalWriter.content(value), Head.class);
            long version = current.configuration().version();
            Single<LogState> base = version >= head.snapshotVersion() ? Single.just(current) : readSnapshot(head);
            return base.flatMap(state ->
                            readChanges(head, state.configuration().version()).map(state::apply))
                    .map(state -> remember(state.withHead(value.revision(), head)));
        });
    }

    private Single<LogState> readSnapshot(Head head) {
        ContentReference reference = head.snapshot();
        if (reference == null) {
            return Single.just(LogState.EMPTY);
        }
        return contents.read(reference, Map.of()).map(bytes -> {
            Snapshot snapshot = ConfigurationJson.readValue(bytes, Snapshot.class);
            return new LogState(
                    KeyValueStore.ABSENT,
                    Head.EMPTY,
                    Configuration.of(head.snapshotVersion(), snapshot.document()),
                    Collections.unmodifiableMap(snapshot.changeIds()),
                    List.of());
        });
    }

    private Single<List<ChangeSet>> readChanges(Head head, long afterVersion) {
        List<AcceptedChange> missing = head.changes()
                .subList(
                        (int) (afterVersion - head.snapshotVersion()),
                        head.changes().size());
        if (missing.size() > MAXIMUM_SINGLE_READS) {
            return store.list(CHANGE_PREFIX).flatMap(values -> {
                Map<String, VersionedValue> byKey = new HashMap<>();
                values.forEach(value -> byKey.put(value.key(), value));
                return readEach(missing, byKey);
            });
        }
        return readEach(missing, Map.of());
    }

    private Single<List<ChangeSet>> readEach(List<AcceptedChange> changes, Map<String, VersionedValue> listed) {
        return Observable.fromIterable(changes)
                .concatMapSingle(change -> contents.read(change.content(), listed))
                .map(ConfigurationJson::readChangeSet)
                .toList();
    }

    private LogState remember(LogState state) {
        synchronized (lock) {
            if (state.headRevision() > known.headRevision()) {
                known = state;
            }
        }
        return state;
    }
}
