package io.oleandermoor.daemon.network;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.ConfigurationJson;
import io.oleandermoor.coordination.configuration.VersionedChange;
import io.oleandermoor.coordination.dissemination.Item;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.ConfigurationDocument;
import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.util.Optional;

/**
 * Spreads the configuration among processes, so that few of them have to read the key-value service: each change as an
 * item of its own, and the whole configuration on request.
 */
public final class ConfigurationItems {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String CHANGE_PREFIX = "configuration/change/";

    private static final String WHOLE = "configuration/whole";

    /** Number of recent changes that are kept as items; who misses more takes the whole configuration. */
    private static final long KEPT_CHANGES = 64;

    private final DisseminatingItemExchange items;

    private final ConfigurationHolder holder;

    /**
     * Connects a configuration with the items.
     *
     * @param items spreads items
     * @param holder the configuration in force in this process
     */
    public ConfigurationItems(DisseminatingItemExchange items, ConfigurationHolder holder) {
        this.items = items;
        this.holder = holder;
        items.listen(CHANGE_PREFIX, this::changeReceived);
        items.listen(WHOLE, this::wholeReceived);
        items.provide(WHOLE, this::whole);
    }

    /**
     * Spreads a change that this process has read at the key-value service.
     *
     * @param change the change
     */
    public void publish(VersionedChange change) {
        items.publish(CHANGE_PREFIX + change.version(), change.version(), ConfigurationJson.write(change.changeSet()));
        forgetOld(change.version());
    }

    /** Asks a peer for the whole configuration if this process has none or lacks changes. */
    public void repair() {
        if (holder.configuration().version() == 0 || holder.missing().isPresent()) {
            items.request(WHOLE);
        }
    }

    private void changeReceived(String name, long version, byte[] content) {
        try {
            holder.offer(new VersionedChange(version, ConfigurationJson.readChangeSet(content)));
            forgetOld(version);
        } catch (IOException exception) {
            UnreadableItem.log(name, version, exception);
        }
    }

    /** Every process forgets old changes, or the exchanges would bring them back to those that have forgotten them. */
    private void forgetOld(long version) {
        long oldest = version - KEPT_CHANGES;
        items.remove(item -> item.name().startsWith(CHANGE_PREFIX) && item.version() < oldest);
    }

    private Optional<Item> whole() {
        Configuration current = holder.configuration();
        if (current.version() == 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Item(WHOLE, current.version(), MAPPER.writeValueAsBytes(current.toDocument())));
        } catch (IOException exception) {
            throw new IllegalStateException("a configuration can always be written as JSON", exception);
        }
    }

    private void wholeReceived(String name, long version, byte[] content) {
        try {
            holder.offer(Configuration.of(version, MAPPER.readValue(content, ConfigurationDocument.class)));
        } catch (IOException | InvalidInputException exception) {
            UnreadableItem.log(name, version, exception);
        }
    }
}
