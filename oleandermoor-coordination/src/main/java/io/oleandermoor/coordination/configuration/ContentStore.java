package io.oleandermoor.coordination.configuration;

import io.oleandermoor.coordination.store.ConditionalWriter;
import io.oleandermoor.coordination.store.KeyValueStore;
import io.oleandermoor.coordination.store.StoreException;
import io.oleandermoor.coordination.store.VersionedValue;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

/** Writes contents of any size under keys of their own that are never overwritten. */
final class ContentStore {

    /** Leaves room for the writer's token below the limit of a value. */
    static final int PART_BYTES = KeyValueStore.MAXIMUM_VALUE_BYTES - 10_000;

    private final KeyValueStore store;
    private final ConditionalWriter writer;

    ContentStore(KeyValueStore store, ConditionalWriter writer) {
        this.store = store;
        this.writer = writer;
    }

    Single<ContentReference> write(String path, byte[] content) {
        int parts = Math.max(1, (content.length + PART_BYTES - 1) / PART_BYTES);
        ContentReference reference = new ContentReference(path, parts, content.length);
        return Observable.range(0, parts)
                .concatMapCompletable(part -> {
                    int start = part * PART_BYTES;
                    byte[] bytes = Arrays.copyOfRange(content, start, Math.min(content.length, start + PART_BYTES));
                    return writer.write(reference.key(part), KeyValueStore.ABSENT, bytes, Optional.empty())
                            .flatMapCompletable(outcome -> outcome.applied()
                                    ? Completable.complete()
                                    : Completable.error(new StoreException("key " + reference.key(part) + " exists")));
                })
                .toSingleDefault(reference);
    }

    /** Reads a content, without a call for parts that are listed already. */
    Single<byte[]> read(ContentReference reference, Map<String, VersionedValue> listed) {
        return Observable.range(0, reference.parts())
                .map(reference::key)
                .concatMapSingle(key ->
                        listed.containsKey(key) ? Single.just(Optional.ofNullable(listed.get(key))) : store.get(key))
                .zipWith(
                        Observable.range(0, reference.parts()),
                        (found, part) -> ConditionalWriter.content(
                                found.orElseThrow(() -> new MissingContentException(reference.key(part)))))
                .collectInto(new ByteArrayOutputStream(), ByteArrayOutputStream::writeBytes)
                .map(ByteArrayOutputStream::toByteArray);
    }

    /** Deletes all contents under a prefix whose version is older. */
    Completable deleteOlder(String prefix, long version) {
        return store.list(prefix)
                .flattenAsObservable(values -> values)
                .filter(value -> version(prefix, value) < version)
                .concatMapCompletable(value ->
                        store.compareAndDelete(value.key(), value.revision()).ignoreElement());
    }

    static String path(String prefix, long version, String token) {
        return prefix + String.format("%012d", version) + "/" + token;
    }

    private static long version(String prefix, VersionedValue value) {
        return Long.parseLong(value.key().substring(prefix.length(), value.key().indexOf('/', prefix.length())));
    }
}
