package io.oleandermoor.daemon.network;

import io.oleandermoor.transport.log.LogEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The log line of an item that a listener cannot read, such as one of a newer release. */
public final class UnreadableItem {

    private static final Logger LOGGER = LogManager.getLogger(UnreadableItem.class);

    private UnreadableItem() {}

    /**
     * Logs the item.
     *
     * @param name the name of the item
     * @param version its version
     * @param reason why it cannot be read
     */
    public static void log(String name, long version, Exception reason) {
        LogEvent.of("item_unreadable")
                .with("item", name)
                .with("version", version)
                .with("reason", reason.getMessage())
                .warn(LOGGER);
    }
}
