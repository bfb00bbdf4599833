package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.VersionPolicy;
import io.oleandermoor.state.version.VersionRequirement;
import java.util.function.Consumer;

/** Keeps streams at the software version that began them. */
public final class VersionRule implements InstanceRule {

    private final VersionPolicy policy;
    private final Consumer<UpstreamInstance> confirmationRequester;

    /**
     * Creates a rule.
     *
     * @param policy decides which versions fit
     * @param confirmationRequester gets an instance at which a stream would go on if it confirmed that it still is the
     *     described run; called again until that is known, so it must ignore repetitions
     */
    public VersionRule(VersionPolicy policy, Consumer<UpstreamInstance> confirmationRequester) {
        this.policy = policy;
        this.confirmationRequester = confirmationRequester;
    }

    @Override
    public Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        UpstreamInstance instance = state.instance();
        VersionRequirement requirement = query.terms().version();
        if (!requirement.isMetBy(instance.softwareVersion(), instance.service(), policy)) {
            return Verdict.EXCLUDED;
        }
        return requirement.isBound()
                        && instance.softwareVersion().isStated()
                        && state.contact().isUncertain()
                ? judgeUncertain(state)
                : Verdict.ALLOWED;
    }

    private Verdict judgeUncertain(InstanceState state) {
        if (state.contact().isRefuted()) {
            return Verdict.WITHDRAWN;
        }
        confirmationRequester.accept(state.instance());
        return Verdict.FULL;
    }
}
