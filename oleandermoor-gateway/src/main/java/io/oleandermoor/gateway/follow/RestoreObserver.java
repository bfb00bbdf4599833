package io.oleandermoor.gateway.follow;

import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.state.restore.RestoreWindow;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tells the view when the store was restored from a copy. Must be started before all other listeners of the store's
 * era, which rely on the window that the view then opens. Used on the event loop only.
 */
public final class RestoreObserver {

    private static final Logger LOG = LogManager.getLogger(RestoreObserver.class);

    private RestoreObserver() {}

    /** Starts to observe the era of the store. */
    public static void start(StoreClient store, DeploymentView view, GatewayMetrics metrics) {
        store.addEraListener((era, restored) -> {
            view.recordEraStated();
            if (restored) {
                LOG.warn("event=store_restored era={} configuration_age_ms={}", era, view.confirmationAgeMillis());
                metrics.countStoreRestore();
            } else {
                LOG.info("event=store_era era={}", era);
            }
            if (restored || era > RestoreWindow.FIRST_ERA) {
                view.beginRestore(restored);
            }
        });
    }
}
