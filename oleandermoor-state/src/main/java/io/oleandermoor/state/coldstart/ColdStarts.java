package io.oleandermoor.state.coldstart;

import io.oleandermoor.state.dispatch.InstanceRule;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.ColdStartProfile;
import io.oleandermoor.state.fleet.InstanceDescription;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.fleet.UpstreamService;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Limits what this entry sends to cold instances to its share of the rate that they tolerate. Each entry uses an equal
 * share, so that the bound holds although entries exchange no messages about it. Not thread-safe.
 */
public final class ColdStarts implements InstanceRule {

    private static final ColdCause[] CAUSES = ColdCause.values();

    private final ColdStartBounds bounds;
    private final RandomGenerator random;
    private final EntryCount entries = new EntryCount();
    private final Map<String, ColdStartProfile> profiles = new HashMap<>();
    private final Map<String, ColdInstance> instances = new HashMap<>();
    private Listener listener = new Listener() {};
    private boolean firstListRead;

    /**
     * Creates a rule without instances.
     *
     * @param bounds the bound on the requests that a cold instance gets
     * @param random the source of the times at which this entry first sends to cold instances
     */
    public ColdStarts(ColdStartBounds bounds, RandomGenerator random) {
        this.bounds = bounds;
        this.random = random;
    }

    /**
     * The beginning of a cold time.
     *
     * @param instance the description of the instance
     * @param cause why it counts as cold
     * @param untilMillis the time until which it is cold according to what is known now
     * @param descriptionAgeMillis the time since the description arrived
     * @param entries the number of entries that share the rate
     * @param intervalMillis the minimum time between two sends of this entry
     * @param firstSendMillis the time from which this entry sends
     */
    public record ColdTime(
            UpstreamInstance instance,
            ColdCause cause,
            long untilMillis,
            long descriptionAgeMillis,
            int entries,
            long intervalMillis,
            long firstSendMillis) {}

    /** Is told about cold times and their effect. */
    public interface Listener {

        /** Called when an instance begins to count as cold. */
        default void coldBegan(ColdTime coldTime, long nowMillis) {}

        /** Called when a cold instance cannot be chosen for a request, because the share of this entry is spent. */
        default void limited() {}
    }

    /** Sets the listener. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /** Replaces the services. */
    public void configure(Collection<UpstreamService> services, long nowMillis) {
        profiles.clear();
        services.forEach(service -> service.coldStart().ifPresent(profile -> profiles.put(service.name(), profile)));
        instances.values().forEach(instance -> updateCold(instance, nowMillis));
    }

    /**
     * Records the registered entries.
     *
     * @param count the number of entries, including this one
     * @param rank the number of entries whose names precede the name of this one
     * @param nowMillis the current time
     */
    public void recordEntries(int count, int rank, long nowMillis) {
        entries.record(count, rank, nowMillis);
    }

    /** Records that this entry has registered, so that the others count it soon. */
    public void recordRegistration(long nowMillis) {
        entries.recordRegistration(nowMillis);
    }

    /**
     * Records the description of an instance.
     *
     * @param description the description
     * @param revision its revision in the store
     * @param nowMillis the current time
     */
    public void recordDescription(InstanceDescription description, long revision, long nowMillis) {
        String id = description.instance().id();
        ColdInstance known = instances.get(id);
        if (known == null) {
            long runSeenMillis = firstListRead ? nowMillis : Long.MIN_VALUE;
            known = new ColdInstance(description, revision, runSeenMillis, nowMillis);
            instances.put(id, known);
        } else {
            known.describe(description, revision, nowMillis);
        }
        updateCold(known, nowMillis);
    }

    /** Records that the first list is complete: instances that appear later have just started. */
    public void recordListRead() {
        firstListRead = true;
    }

    /** Removes an instance that is no longer listed. */
    public void remove(String id) {
        instances.remove(id);
    }

    /** Records that an instance could not be reached, or that a connection to it ended without a complete answer. */
    public void recordContactLost(String id) {
        ColdInstance instance = instances.get(id);
        if (instance != null) {
            instance.recordContactLost();
        }
    }

    /** Records that instances may have restarted unnoticed, because this entry was suspended or stalled. */
    public void recordStall() {
        instances.values().forEach(ColdInstance::recordContactLost);
    }

    /**
     * Records that a connection for a request was opened, which moves its send to this time. The instance may have
     * become cold since the request was assigned to it.
     *
     * @param id the identifier of the instance
     * @param sentMillis the time at which the send was recorded
     * @param nowMillis the current time
     * @return whether the request may be sent; if not, its send is no longer counted
     */
    public boolean confirmSend(String id, long sentMillis, long nowMillis) {
        ColdInstance instance = instances.get(id);
        if (instance == null) {
            return true;
        }
        instance.recordConnected(nowMillis);
        ColdStartProfile profile = updateCold(instance, nowMillis);
        if (profile == null) {
            return true;
        }
        instance.removeSend(sentMillis);
        if (instance.isCold() && !permitsSend(instance, profile, nowMillis)) {
            listener.limited();
            return false;
        }
        instance.recordSend(nowMillis);
        return true;
    }

    /**
     * Gives back the share spent on a request that did not arrive or that the instance declined.
     *
     * @param id the identifier of the instance
     * @param sentMillis the time at which the send was recorded or confirmed
     */
    public void giveBack(String id, long sentMillis) {
        ColdInstance instance = instances.get(id);
        if (instance != null) {
            instance.removeSend(sentMillis);
        }
    }

    /**
     * Records that the evacuation of a failure domain has ended. All entries use its instances again at once, and the
     * instances may have restarted.
     *
     * @param failureDomain the failure domain
     * @param nowMillis the current time
     */
    public void domainReadmitted(String failureDomain, long nowMillis) {
        for (ColdInstance instance : instances.values()) {
            if (instance.instance().failureDomain().equals(failureDomain)) {
                instance.recordReadmission(nowMillis);
                updateCold(instance, nowMillis);
            }
        }
    }

    @Override
    public Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        if (!profiles.containsKey(query.service())) {
            return Verdict.ALLOWED;
        }
        ColdInstance instance = instances.get(state.instance().id());
        ColdStartProfile profile = instance == null ? null : updateCold(instance, nowMillis);
        if (instance == null || profile == null || !instance.isCold()) {
            return Verdict.ALLOWED;
        }
        if (permitsSend(instance, profile, nowMillis)) {
            return Verdict.ALLOWED;
        }
        listener.limited();
        return Verdict.FULL;
    }

    @Override
    public void onSent(InstanceState state, long nowMillis) {
        if (profiles.containsKey(state.instance().service())) {
            ColdInstance instance = instances.get(state.instance().id());
            if (instance != null) {
                instance.recordSend(nowMillis);
            }
        }
    }

    private boolean permitsSend(ColdInstance instance, ColdStartProfile profile, long nowMillis) {
        return entries.isSettled(nowMillis) && instance.permitsSend(share(profile, nowMillis), entries, nowMillis);
    }

    private ColdShare share(ColdStartProfile profile, long nowMillis) {
        return ColdShare.of(profile.requestsPerSecond(), entries.maximum(nowMillis), bounds);
    }

    /** Begins or ends the cold time of an instance. Returns the profile of its service if it has cold instances. */
    private @Nullable ColdStartProfile updateCold(ColdInstance instance, long nowMillis) {
        ColdStartProfile profile = profiles.get(instance.instance().service());
        if (profile == null) {
            instance.endCold();
            return null;
        }
        ColdCause latest = ColdCause.DESCRIBED;
        long untilMillis = Long.MIN_VALUE;
        for (ColdCause cause : CAUSES) {
            long causeUntilMillis = cause.untilMillis(instance, profile.durationMillis());
            if (causeUntilMillis > untilMillis) {
                latest = cause;
                untilMillis = causeUntilMillis;
            }
        }
        if (nowMillis >= untilMillis) {
            instance.endCold();
        } else if (!instance.isCold()) {
            begin(instance, profile, latest, untilMillis, nowMillis);
        }
        return profile;
    }

    private void begin(
            ColdInstance instance, ColdStartProfile profile, ColdCause cause, long untilMillis, long nowMillis) {
        ColdShare share = share(profile, nowMillis);
        instance.beginCold(random.nextDouble(), nowMillis);
        listener.coldBegan(
                new ColdTime(
                        instance.instance(),
                        cause,
                        untilMillis,
                        nowMillis - instance.describedMillis(),
                        entries.maximum(nowMillis),
                        share.intervalMillis(),
                        instance.firstSendMillis(share, entries)),
                nowMillis);
    }
}
