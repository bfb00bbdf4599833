package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.FleetDocumentDecoder;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReading;
import io.oleandermoor.platform.UpstreamInstanceDecoder;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Takes over the operators' configuration and the instances from the store. Used on the event loop only. */
public final class FleetFollower {

    private static final Logger LOG = LogManager.getLogger(FleetFollower.class);
    private static final String CONFIGURATION_PREFIX = "op/";
    private static final String CONFIGURATION_KEY = "op/config";
    private static final String INSTANCE_PREFIX = "servers/";
    /**
     * Time after which everything is read again although no loss of history was told; a second line behind the answer
     * that tells such a loss.
     */
    private static final long LIST_MILLIS = 15_000;
    /**
     * A watch confirms the configuration when it ends, so its wait, with the time until a silent connection to the
     * store is given up, stays below the age at which this entry leaves the load balancer.
     */
    private static final StoreFollower.Pace CONFIGURATION_PACE = new StoreFollower.Pace(1_500, () -> 0, LIST_MILLIS);

    private static final long INSTANCE_WAIT_MILLIS = 2_000;
    /** The entry that gives orders waits for the end of loads. */
    private static final long GIVER_GAP_MILLIS = 250;
    /**
     * Part of the time after which a leaving instance gets nothing new, for which the changes of instances gather into
     * one call.
     */
    private static final double GAP_SHARE = 0.35;

    private final DeploymentView view;

    private FleetFollower(DeploymentView view) {
        this.view = view;
    }

    /**
     * Starts to follow both.
     *
     * @param loop the event loop
     * @param store the store
     * @param view where both are noted
     * @param drainMillis the time after which a leaving instance must not get anything new
     */
    public static void start(EventLoop loop, StoreClient store, DeploymentView view, long drainMillis) {
        long gap = (long) (drainMillis * GAP_SHARE);
        FleetFollower follower = new FleetFollower(view);
        new StoreFollower(loop, store, CONFIGURATION_PREFIX, CONFIGURATION_PACE, follower.new Configuration()).start();
        StoreFollower.Pace instances = new StoreFollower.Pace(
                INSTANCE_WAIT_MILLIS, () -> view.givesOrders() ? Math.min(GIVER_GAP_MILLIS, gap) : gap, LIST_MILLIS);
        new StoreFollower(loop, store, INSTANCE_PREFIX, instances, follower.new Instances()).start();
    }

    private final class Configuration implements StoreFollower.Listener {

        private boolean readable;

        @Override
        public void all(StoreReading reading, Timestamp current) {
            changes(reading, current);
        }

        @Override
        public void changes(StoreReading reading, Timestamp current) {
            reading.items().stream()
                    .filter(item -> item.key().equals(CONFIGURATION_KEY) && !item.removed())
                    .forEach(this::put);
            // A version that cannot be read may revoke a key, so nothing is confirmed until one can be read again.
            if (readable) {
                view.confirmDocument(current);
            }
        }

        private void put(StoreItem item) {
            try {
                FleetDocument document = FleetDocumentDecoder.decode(item.value());
                readable = true;
                if (view.applyDocument(document)) {
                    LOG.info("event=configuration version={} revision={}", document.version(), item.revision());
                }
            } catch (DecodeException exception) {
                readable = false;
                LOG.error(
                        "event=configuration_unreadable revision={} cause=\"{}\"",
                        item.revision(),
                        exception.getMessage());
            }
        }
    }

    private final class Instances implements StoreFollower.Listener {

        @Override
        public void all(StoreReading reading, Timestamp current) {
            Set<String> listed = new HashSet<>();
            for (StoreItem item : reading.items()) {
                put(item);
                listed.add(id(item));
            }
            Set<String> gone = new HashSet<>();
            view.instances().all().forEach(state -> gone.add(state.instance().id()));
            gone.removeAll(listed);
            gone.forEach(this::remove);
            view.markInstancesLoaded();
            view.notifyChangeListeners();
        }

        @Override
        public void changes(StoreReading reading, Timestamp current) {
            for (StoreItem item : reading.items()) {
                if (item.removed()) {
                    remove(id(item));
                } else {
                    put(item);
                }
            }
            if (!reading.items().isEmpty()) {
                view.notifyChangeListeners();
            }
        }

        private String id(StoreItem item) {
            return item.key().substring(Math.min(item.key().length(), INSTANCE_PREFIX.length()));
        }

        private void remove(String id) {
            view.instances().state(id).ifPresent(state -> {
                LOG.info(
                        "event=instance_gone instance={} service={}",
                        id,
                        state.instance().service());
                view.instances().remove(id);
            });
        }

        private void put(StoreItem item) {
            try {
                UpstreamInstance instance = UpstreamInstanceDecoder.decode(id(item), item.value());
                boolean known = view.instances().state(instance.id()).isPresent();
                boolean wasDraining = view.instances()
                        .state(instance.id())
                        .map(state -> state.instance().draining())
                        .orElse(false);
                view.instances().put(instance, Timestamp.monotonicNowMillis());
                if (!known || instance.draining() != wasDraining) {
                    LOG.info(
                            "event=instance instance={} service={} address={}:{} draining={} models={}",
                            instance.id(),
                            instance.service(),
                            instance.host(),
                            instance.port(),
                            instance.draining(),
                            instance.models());
                }
            } catch (DecodeException exception) {
                LOG.warn("event=instance_unreadable revision={} cause=\"{}\"", item.revision(), exception.getMessage());
            }
        }
    }
}
