package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.configuration.ChangeAnswer;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.ConfigurationLog;
import io.oleandermoor.coordination.configuration.Revocation;
import io.oleandermoor.coordination.configuration.RevocationTable;
import io.oleandermoor.coordination.dissemination.Freshness;
import io.oleandermoor.daemon.network.DisseminatingItemExchange;
import io.oleandermoor.daemon.network.RevocationItems;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.transport.log.LogEvent;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keys revoked while the key-value service accepts no change. Each entry that learns from the service again writes them
 * under the operator's change id, so that several entries write each only once. Safe for use by several threads.
 */
final class KeyRevocations {

    /** Nothing is written unless the service answered within this time, so an outage sees no extra calls. */
    private static final long ANSWERED_MILLIS = 3_000;

    private static final Logger LOGGER = LogManager.getLogger(KeyRevocations.class);

    private final RevocationTable table = new RevocationTable();

    private final AtomicBoolean writing = new AtomicBoolean();

    private final RevocationItems items;

    private final ConfigurationHolder configuration;

    private final ConfigurationLog log;

    private final Freshness freshness;

    private final RequestTable requests;

    private final LongSupplier nowMillis;

    KeyRevocations(
            DisseminatingItemExchange exchange,
            ConfigurationHolder configuration,
            ConfigurationLog log,
            Freshness freshness,
            RequestTable requests,
            LongSupplier nowMillis) {
        this.configuration = configuration;
        this.log = log;
        this.freshness = freshness;
        this.requests = requests;
        this.nowMillis = nowMillis;
        this.items = new RevocationItems(exchange, table, configuration::configuration, hash -> endRequests());
        configuration.addListener((before, after) -> items.configurationChanged(after));
    }

    boolean isRevoked(KeyHash hash) {
        return table.isRevoked(hash);
    }

    /**
     * Revokes a key without the key-value service.
     *
     * @return the number of other entries that were told, or empty if the change is not a single revocation
     */
    OptionalInt revoke(ChangeSet changeSet) {
        Optional<Revocation> revocation = Revocation.of(changeSet, configuration.configuration());
        return revocation.isPresent() ? OptionalInt.of(items.publish(revocation.get())) : OptionalInt.empty();
    }

    /** Writes the next pending revocation if the service answers again; to be called each second. */
    void tick() {
        if (table.isEmpty()) {
            return;
        }
        // Also ends requests that were authenticated just before the revocation came.
        endRequests();
        OptionalLong age = freshness.ageMillis(nowMillis.getAsLong());
        Optional<Revocation> next =
                table.pending(configuration.configuration()).stream().findFirst();
        if (next.isPresent()
                && age.isPresent()
                && next.get().version() <= configuration.configuration().version()
                && age.getAsLong() < ANSWERED_MILLIS
                && writing.compareAndSet(false, true)) {
            // The version is the one that was checked to have the key under this identifier.
            var unused = log.accept(
                            next.get().toChangeSet(),
                            configuration.configuration().version())
                    .doFinally(() -> writing.set(false))
                    .subscribe(answer -> written(next.get(), answer), failure -> failed(next.get(), failure));
        }
    }

    private void endRequests() {
        requests.endRequestsWith(request ->
                request.key().filter(key -> table.isRevoked(key.hash())).isPresent());
    }

    private static void written(Revocation revocation, ChangeAnswer answer) {
        if (answer instanceof ChangeAnswer.Accepted accepted) {
            LogEvent.of("revocation_written")
                    .with("key", revocation.keyId())
                    .with("version", accepted.version())
                    .info(LOGGER);
        }
    }

    private static void failed(Revocation revocation, Throwable failure) {
        LogEvent.of("revocation_not_written")
                .with("key", revocation.keyId())
                .with("reason", failure.getMessage())
                .warn(LOGGER);
    }
}
