package io.oleandermoor.gateway.follow;

import io.netty.channel.EventLoop;
import io.oleandermoor.gateway.metrics.GatewayMetrics;
import io.oleandermoor.gateway.view.DeploymentView;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.StoreItem;
import io.oleandermoor.platform.StoreReadResult;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.evacuation.EvacuationSchedule;
import io.oleandermoor.state.evacuation.EvacuationSchedule.Phase;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Begins and ends the evacuations of failure domains that operators request in the store. What has begun stays in force
 * until a read or a watch shows that the request was removed. Used on the event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Tasks run until the event loop ends, so they are not cancelled.
public final class EvacuationListener implements StoreFollower.Listener {

    private static final Logger LOG = LogManager.getLogger(EvacuationListener.class);
    /** Prefix of the keys that request an evacuation; the rest of the key names the failure domain. */
    private static final String EVACUATION_PREFIX = ConfigurationListener.KEY_PREFIX + "evacuate/";

    private final EventLoop loop;
    private final DeploymentView view;
    private final EvacuationSchedule schedule;
    private final GatewayMetrics metrics;
    private @Nullable Timestamp lastConfirmedAt;

    /**
     * Creates a listener.
     *
     * @param loop the event loop
     * @param view the view of the deployment, whose listeners are notified of changes
     * @param schedule the evacuations to update
     * @param metrics counts the changes
     */
    public EvacuationListener(
            EventLoop loop, DeploymentView view, EvacuationSchedule schedule, GatewayMetrics metrics) {
        this.loop = loop;
        this.view = view;
        this.schedule = schedule;
        this.metrics = metrics;
    }

    @Override
    public void onSnapshot(StoreReadResult reading, Timestamp confirmedAt) {
        Set<String> ended = new HashSet<>(schedule.failureDomains());
        for (StoreItem item : reading.items()) {
            failureDomain(item).ifPresent(domain -> {
                ended.remove(domain);
                begin(domain, item.revision());
            });
        }
        // After a restore of the store, the operator may still be writing the request again.
        if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
            ended.forEach(domain -> end(domain, reading.storeRevision()));
        }
        recordConfirmation(confirmedAt);
    }

    @Override
    public void onChanges(StoreReadResult reading, Timestamp confirmedAt) {
        for (StoreItem item : reading.items()) {
            failureDomain(item).ifPresent(domain -> {
                if (item.removed()) {
                    end(domain, item.revision());
                } else {
                    begin(domain, item.revision());
                }
            });
        }
        recordConfirmation(confirmedAt);
    }

    /** Records when the store last lacked all other requests, unless a restore may just have lost one. */
    private void recordConfirmation(Timestamp confirmedAt) {
        if (view.restoreWindow().trustsAbsence(confirmedAt.monotonicMillis())) {
            lastConfirmedAt = confirmedAt;
        }
    }

    /** Returns the failure domain that a key names; the value of the key has no meaning. */
    private static Optional<String> failureDomain(StoreItem item) {
        return Optional.of(item.key())
                .filter(key -> key.startsWith(EVACUATION_PREFIX))
                .map(key -> key.substring(EVACUATION_PREFIX.length()))
                .filter(name -> !name.isEmpty());
    }

    private void begin(String failureDomain, long revision) {
        OptionalLong absenceAgeMillis =
                lastConfirmedAt == null ? OptionalLong.empty() : OptionalLong.of(lastConfirmedAt.ageMillis());
        schedule.begin(failureDomain, absenceAgeMillis, Timestamp.monotonicNowMillis())
                .ifPresent(remainingMillis -> {
                    if (remainingMillis > 0) {
                        report(failureDomain, Phase.LEAVING, revision, absenceAgeMillis, remainingMillis);
                    }
                    loop.schedule(
                            () -> reportDeadline(failureDomain, revision, absenceAgeMillis),
                            remainingMillis,
                            TimeUnit.MILLISECONDS);
                });
    }

    private void reportDeadline(String failureDomain, long revision, OptionalLong absenceAgeMillis) {
        if (schedule.phase(failureDomain, Timestamp.monotonicNowMillis()) == Phase.EVACUATED) {
            report(failureDomain, Phase.EVACUATED, revision, absenceAgeMillis, 0);
        }
    }

    private void end(String failureDomain, long revision) {
        if (schedule.end(failureDomain, Timestamp.monotonicNowMillis())) {
            report(failureDomain, Phase.NONE, revision, OptionalLong.empty(), 0);
        }
    }

    private void report(
            String failureDomain, Phase phase, long revision, OptionalLong absenceAgeMillis, long remainingMillis) {
        List<InstanceState> affected = view.instances().states().stream()
                .filter(state -> state.instance().failureDomain().equals(failureDomain))
                .toList();
        long now = Timestamp.monotonicNowMillis();
        long left = view.instances().states().stream()
                .filter(state -> !state.instance().draining())
                .filter(state -> schedule.phase(state.instance().failureDomain(), now) == Phase.NONE)
                .count();
        LOG.info(
                "event=evacuation failure_domain={} phase={} revision={} absence_age_ms={} deadline_in_ms={}"
                        + " instances={} own_requests={} instances_left={}",
                failureDomain,
                phase,
                revision,
                absenceAgeMillis.isPresent() ? absenceAgeMillis.getAsLong() : -1,
                remainingMillis,
                affected.size(),
                affected.stream().mapToInt(InstanceState::localLoad).sum(),
                left);
        metrics.countEvacuation(phase);
        view.notifyChangeListeners();
    }
}
