package io.oleandermoor.state.evacuation;

import io.oleandermoor.state.dispatch.InstanceRule;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import io.oleandermoor.state.fleet.UpstreamInstance;

/** Keeps requests and models off the failure domains that are being evacuated. */
public final class EvacuationRule implements InstanceRule {

    private final EvacuationSchedule schedule;

    /**
     * Creates a rule.
     *
     * @param schedule the evacuations
     */
    public EvacuationRule(EvacuationSchedule schedule) {
        this.schedule = schedule;
    }

    @Override
    public Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        return judgeInstance(state.instance(), nowMillis);
    }

    @Override
    public Verdict judgeInstance(UpstreamInstance instance, long nowMillis) {
        return schedule.phase(instance.failureDomain(), nowMillis).verdict();
    }
}
