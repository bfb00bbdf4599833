package io.oleandermoor.gateway.follow;

import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.state.fleet.FleetDocument;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Puts the operators' configuration in force. Confirms the version in force only while it is known to be the newest one
 * in the store, because a newer one may revoke a key. Used on the event loop only.
 */
final class ConfigurationListener implements StoreFollower.Listener {

    /** Prefix of the keys that operators write. */
    static final String KEY_PREFIX = "op/";

    private static final Logger LOG = LogManager.getLogger(ConfigurationListener.class);
    private static final String CONFIGURATION_KEY = "op/config";

    private final DeploymentView view;
    private final DocumentDecoder decoder;
    private boolean newestInForce;

    /** Decodes a stored version of the configuration. */
    @FunctionalInterface
    interface DocumentDecoder {

        FleetDocument decode(byte[] value) throws DecodeException;
    }

    ConfigurationListener(DeploymentView view, DocumentDecoder decoder) {
        this.view = view;
        this.decoder = decoder;
    }

    @Override
    public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
        // A snapshot without a configuration does not confirm the one in force.
        newestInForce = false;
        onChanges(reading, confirmedAt);
    }

    @Override
    public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
        for (StoreItem item : reading.items()) {
            if (item.key().equals(CONFIGURATION_KEY)) {
                // Remains false if the item cannot be applied for any reason, including an unexpected exception.
                newestInForce = false;
                newestInForce = apply(item);
            }
        }
        if (newestInForce) {
            view.confirmDocument(confirmedAt);
        }
    }

    /** Returns whether the item is the version that is now in force. */
    private boolean apply(StoreItem item) {
        if (item.removed()) {
            LOG.error("event=configuration_removed revision={}", item.revision());
            return false;
        }
        FleetDocument document;
        try {
            document = decoder.decode(item.value());
        } catch (DecodeException exception) {
            LOG.error(
                    "event=configuration_unreadable revision={} cause=\"{}\"", item.revision(), exception.getMessage());
            return false;
        }
        if (view.applyDocument(document)) {
            LOG.info("event=configuration version={} revision={}", document.version(), item.revision());
            return true;
        }
        long versionInForce = view.document().map(FleetDocument::version).orElse(-1L);
        if (document.version() != versionInForce) {
            LOG.error(
                    "event=configuration_outdated version={} revision={} in_force={}",
                    document.version(),
                    item.revision(),
                    versionInForce);
        }
        return document.version() == versionInForce;
    }
}
