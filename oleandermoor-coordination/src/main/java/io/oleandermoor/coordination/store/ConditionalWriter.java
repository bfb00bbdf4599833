package io.oleandermoor.coordination.store;

import io.oleandermoor.coordination.store.WriteOutcome.Effect;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes values conditionally and finds out what became of a write whose answer was lost.
 *
 * <p>Each value starts with a line that holds a token unique to its write. After a lost answer the same write is sent
 * again: it either takes effect now, after which a delayed first copy is refused by its revision, or it is refused, and
 * the token of the stored value tells whether the first copy took effect. Safe for use by several threads.
 */
public final class ConditionalWriter {

    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final long FIRST_RETRY_MILLIS = 50;

    private final KeyValueStore store;
    private final Scheduler scheduler;
    private final String writer;
    private final AtomicLong sequence = new AtomicLong();

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param scheduler the clock of retries
     * @param writer text without line breaks, unique to this writer in the fleet and over restarts
     */
    public ConditionalWriter(KeyValueStore store, Scheduler scheduler, String writer) {
        if (writer.isEmpty() || writer.indexOf('\n') >= 0) {
            throw new IllegalArgumentException("writer must be one line of text");
        }
        this.store = store;
        this.scheduler = scheduler;
        this.writer = writer;
    }

    /**
     * Writes a value if the key's revision is the expected one.
     *
     * @param key the key
     * @param expectedRevision the revision that was read, or {@link KeyValueStore#ABSENT}
     * @param content the content, without token
     * @param lease the lease with which the value vanishes, or empty
     * @return what became of the write, or a {@link StoreException} if that could not be found out
     */
    public Single<WriteOutcome> write(String key, long expectedRevision, byte[] content, Optional<LeaseId> lease) {
        return Single.defer(() -> {
            byte[] token = (writer + "#" + sequence.incrementAndGet() + "\n").getBytes(StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOf(token, token.length + content.length);
            System.arraycopy(content, 0, value, token.length, content.length);
            return attempt(new Write(key, expectedRevision, value, token, lease), 1);
        });
    }

    /**
     * Returns the content of a value that a conditional writer wrote.
     *
     * @param value the stored value
     * @return the content without its token
     * @throws StoreException if the value has no token
     */
    public static byte[] content(VersionedValue value) throws StoreException {
        byte[] bytes = value.value();
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                return Arrays.copyOfRange(bytes, index + 1, bytes.length);
            }
        }
        throw new StoreException("value of " + value.key() + " has no writer token");
    }

    private Single<WriteOutcome> attempt(Write write, int number) {
        return store.compareAndSet(write.key, write.expectedRevision, write.value, write.lease)
                .flatMap(result -> resolve(write, result, number))
                .onErrorResumeNext(failure -> {
                    if (!(failure instanceof StoreException) || number >= MAXIMUM_ATTEMPTS) {
                        return Single.error(failure);
                    }
                    long delayMillis = FIRST_RETRY_MILLIS << (number - 1);
                    return Single.timer(delayMillis, TimeUnit.MILLISECONDS, scheduler)
                            .flatMap(tick -> attempt(write, number + 1));
                });
    }

    private Single<WriteOutcome> resolve(Write write, WriteResult result, int number) {
        if (result.applied()) {
            return Single.just(new WriteOutcome(Effect.APPLIED, result.revision()));
        }
        if (number == 1) {
            return Single.just(new WriteOutcome(Effect.REFUSED, result.revision()));
        }
        return store.get(write.key)
                .map(current -> current.filter(value -> startsWith(value.value(), write.token))
                        .map(value -> new WriteOutcome(Effect.APPLIED, value.revision()))
                        .orElseGet(() -> new WriteOutcome(Effect.SUPERSEDED, result.revision())));
    }

    private static boolean startsWith(byte[] value, byte[] token) {
        return value.length >= token.length && Arrays.equals(value, 0, token.length, token, 0, token.length);
    }

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record Write(String key, long expectedRevision, byte[] value, byte[] token, Optional<LeaseId> lease) {}
}
