package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.version.VersionPolicy;

/** Keeps streams at the software version that began them. */
public final class VersionRule implements InstanceRule {

    private final VersionPolicy policy;

    /**
     * Creates a rule.
     *
     * @param policy decides which versions fit
     */
    public VersionRule(VersionPolicy policy) {
        this.policy = policy;
    }

    @Override
    public Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        UpstreamInstance instance = state.instance();
        return query.terms().version().isMetBy(instance.softwareVersion(), instance.service(), policy)
                ? Verdict.ALLOWED
                : Verdict.EXCLUDED;
    }
}
