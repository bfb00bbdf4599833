package io.oleandermoor.daemon.network;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.configuration.Revocation;
import io.oleandermoor.coordination.configuration.RevocationTable;
import io.oleandermoor.protocol.message.Role;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Spreads revocations of keys while the key-value service accepts no change. Every process keeps them, so that they
 * outlast the entry at which they were made. Safe for use by several threads.
 */
public final class RevocationItems {

    /** Prefix of the names of items with revocations. */
    public static final String ITEM_PREFIX = "revocation/";

    private static final Logger LOGGER = LogManager.getLogger(RevocationItems.class);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DisseminatingItemExchange items;

    private final RevocationTable table;

    private final Supplier<Configuration> configuration;

    private final Consumer<KeyHash> onRevoked;

    /**
     * Connects a table with the items.
     *
     * @param items spreads items
     * @param table the revocations known in this process
     * @param configuration the configuration in force
     * @param onRevoked called with the hash of each revoked key, on event loops
     */
    public RevocationItems(
            DisseminatingItemExchange items,
            RevocationTable table,
            Supplier<Configuration> configuration,
            Consumer<KeyHash> onRevoked) {
        this.items = items;
        this.table = table;
        this.configuration = configuration;
        this.onRevoked = onRevoked;
        items.listen(ITEM_PREFIX, this::received);
    }

    /**
     * Puts a revocation in force here and sends it to all connected entries at once.
     *
     * @param revocation the revocation
     * @return the number of other entries to which it was sent
     */
    public int publish(Revocation revocation) {
        Content content =
                new Content(revocation.hash().value(), revocation.keyId(), revocation.changeId(), revocation.author());
        try {
            return items.publishTo(
                    connection -> connection.remote().role() == Role.ENTRY,
                    name(revocation),
                    revocation.version(),
                    MAPPER.writeValueAsBytes(content));
        } catch (IOException exception) {
            throw new IllegalStateException("a revocation can always be written as JSON", exception);
        }
    }

    /**
     * Forgets the revocations that have become part of the configuration.
     *
     * @param inForce the configuration in force
     */
    public void configurationChanged(Configuration inForce) {
        Set<String> written =
                table.removeWritten(inForce).stream().map(RevocationItems::name).collect(Collectors.toSet());
        if (!written.isEmpty()) {
            items.remove(item -> written.contains(item.name()));
        }
    }

    private void received(String name, long version, byte[] bytes) {
        try {
            Content content = MAPPER.readValue(bytes, Content.class);
            Revocation revocation =
                    new Revocation(new KeyHash(content.hash), content.keyId, content.changeId, content.author, version);
            if (table.add(revocation, configuration.get())) {
                LogEvent.of("key_revoked_by_item").with("key", content.keyId).info(LOGGER);
                onRevoked.accept(revocation.hash());
            }
        } catch (IOException | IllegalArgumentException exception) {
            UnreadableItem.log(name, version, exception);
        }
    }

    private static String name(Revocation revocation) {
        return ITEM_PREFIX + revocation.hash().value();
    }

    private record Content(String hash, String keyId, String changeId, String author) {}
}
