package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.FleetDocumentDecoder;
import io.oleandermoor.platform.StoreClient;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.platform.UpstreamInstanceDecoder;
import io.oleandermoor.state.fleet.InstanceDescription;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.restore.EndedRuns;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Watches the operators' configuration and the instances in the store and applies them to the fleet view. Used on the
 * event loop only.
 */
public final class FleetFollower {

    private static final Logger LOG = LogManager.getLogger(FleetFollower.class);
    private static final String INSTANCE_PREFIX = "servers/";
    /** Interval of full reads, which find changes that a watch missed even if the store reports no loss of history. */
    private static final long RELIST_INTERVAL_MILLIS = 15_000;
    /**
     * A watch confirms the configuration when it ends. Its timeout plus the timeout of a silent connection to the store
     * must therefore stay below the confirmation age at which this entry leaves the load balancer.
     */
    private static final StoreFollower.WatchTiming CONFIGURATION_TIMING =
            new StoreFollower.WatchTiming(1_500, () -> 0, RELIST_INTERVAL_MILLIS);

    private static final long INSTANCE_WATCH_TIMEOUT_MILLIS = 2_000;
    /** Maximum batch delay at the entry that gives orders to engines, which waits for loads to complete. */
    private static final long ORDER_HOLDER_BATCH_DELAY_MILLIS = 250;
    /** Batch delay of instance changes as a ratio of the time within which a draining instance must be avoided. */
    private static final double BATCH_DELAY_DRAIN_RATIO = 0.35;

    private final DeploymentView view;
    private final EndedRuns endedRuns = new EndedRuns();

    private FleetFollower(DeploymentView view) {
        this.view = view;
    }

    /**
     * Starts watching the configuration and the instances.
     *
     * @param loop the event loop
     * @param store the store
     * @param view the view to update
     * @param drainMillis the time after which a draining instance must not receive new requests
     * @param evacuationListener applies the evacuations, which are stored beside the configuration
     */
    public static void start(
            EventLoop loop,
            StoreClient store,
            DeploymentView view,
            long drainMillis,
            StoreFollower.Listener evacuationListener) {
        long batchDelayMillis = (long) (drainMillis * BATCH_DELAY_DRAIN_RATIO);
        FleetFollower follower = new FleetFollower(view);
        store.addEraListener((era, restored) -> {
            if (restored) {
                follower.endedRuns.recordRestore(Timestamp.monotonicNowMillis());
            }
        });
        // The evacuations come first, so that a confirmed configuration implies that they are in force.
        StoreFollower.Listener operatorListener =
                evacuationListener.andThen(new ConfigurationListener(view, FleetDocumentDecoder::decode));
        new StoreFollower(loop, store, ConfigurationListener.KEY_PREFIX, CONFIGURATION_TIMING, operatorListener)
                .start();
        StoreFollower.WatchTiming instanceTiming = new StoreFollower.WatchTiming(
                INSTANCE_WATCH_TIMEOUT_MILLIS,
                () -> view.givesOrders()
                        ? Math.min(ORDER_HOLDER_BATCH_DELAY_MILLIS, batchDelayMillis)
                        : batchDelayMillis,
                RELIST_INTERVAL_MILLIS);
        new StoreFollower(loop, store, INSTANCE_PREFIX, instanceTiming, follower.new InstanceListener()).start();
    }

    private final class InstanceListener implements StoreFollower.Listener {

        /** A time at which the latest reading was current; what the next one adds was written later. */
        private long previousReadMillis;

        @Override
        public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
            Set<String> listedIds = new HashSet<>();
            for (StoreItem item : reading.items()) {
                putInstance(item);
                listedIds.add(instanceId(item));
            }
            Set<String> removedIds = new HashSet<>();
            view.instances()
                    .states()
                    .forEach(state -> removedIds.add(state.instance().id()));
            removedIds.removeAll(listedIds);
            if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
                removedIds.forEach(this::removeInstance);
            } else if (!removedIds.isEmpty()) {
                LOG.info("event=absences_ignored prefix={} absent={}", INSTANCE_PREFIX, removedIds.size());
            }
            previousReadMillis = confirmedAt.monotonicMillis();
            view.coldStarts().recordListRead();
            view.markInstancesLoaded();
            view.notifyChangeListeners();
        }

        @Override
        public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
            for (StoreItem item : reading.items()) {
                if (!item.removed()) {
                    putInstance(item).ifPresent(this::confirmRun);
                } else if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
                    // Otherwise a lease from the copy may have ended before the instance renewed its registration. The
                    // full read after the window finds what was removed.
                    removeInstance(instanceId(item));
                }
            }
            previousReadMillis = confirmedAt.monotonicMillis();
            if (!reading.items().isEmpty()) {
                view.notifyChangeListeners();
            }
        }

        private String instanceId(StoreItem item) {
            return item.key().substring(Math.min(item.key().length(), INSTANCE_PREFIX.length()));
        }

        private void removeInstance(String id) {
            view.instances().state(id).ifPresent(state -> {
                LOG.info(
                        "event=instance_gone instance={} service={}",
                        id,
                        state.instance().service());
                endedRuns.recordRemoved(state.instance(), Timestamp.monotonicNowMillis());
                view.instances().remove(id);
                view.coldStarts().remove(id);
            });
        }

        private void confirmRun(UpstreamInstance described) {
            view.instances()
                    .state(described.id())
                    .ifPresent(state -> state.contact().recordConfirmed(previousReadMillis));
        }

        /** Returns the instance if it is used as it is described. */
        private Optional<UpstreamInstance> putInstance(StoreItem item) {
            try {
                InstanceDescription description =
                        UpstreamInstanceDecoder.decodeDescription(instanceId(item), item.value());
                UpstreamInstance described = description.instance();
                long now = Timestamp.monotonicNowMillis();
                Optional<UpstreamInstance> reconciled = endedRuns.reconcile(described, now);
                if (reconciled.isPresent()) {
                    putInstance(reconciled.get());
                    view.coldStarts().recordDescription(description, item.revision(), now);
                }
                if (!reconciled.equals(Optional.of(described))) {
                    LOG.info(
                            "event=restored_description_ignored instance={} started={} revision={} removed={}",
                            described.id(),
                            described.startedMillis(),
                            item.revision(),
                            reconciled.isEmpty());
                    return Optional.empty();
                }
                return reconciled;
            } catch (DecodeException exception) {
                LOG.warn("event=instance_unreadable revision={} cause=\"{}\"", item.revision(), exception.getMessage());
                // An unreadable entry names no instance to use, even if an earlier version of it did.
                removeInstance(instanceId(item));
            } catch (RuntimeException cause) {
                // One entry must not keep the others, and the removal of instances, from being applied.
                LOG.error("event=instance_not_applied revision={}", item.revision(), cause);
                removeInstance(instanceId(item));
            }
            return Optional.empty();
        }

        private void putInstance(UpstreamInstance instance) {
            boolean isKnown = view.instances().state(instance.id()).isPresent();
            boolean wasDraining = view.instances()
                    .state(instance.id())
                    .map(state -> state.instance().draining())
                    .orElse(false);
            view.instances().put(instance, Timestamp.monotonicNowMillis());
            endedRuns.recordDescribed(instance);
            if (!isKnown || instance.draining() != wasDraining) {
                LOG.info(
                        "event=instance instance={} service={} address={}:{} draining={} models={}",
                        instance.id(),
                        instance.service(),
                        instance.host(),
                        instance.port(),
                        instance.draining(),
                        instance.models());
            }
        }
    }
}
