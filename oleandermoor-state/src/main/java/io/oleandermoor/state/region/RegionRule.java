package io.oleandermoor.state.region;

import io.oleandermoor.state.dispatch.InstanceRule;
import io.oleandermoor.state.dispatch.InstanceState;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceQuery;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps requests within their allowed regions. A failure domain whose region is unknown counts as outside of every
 * region.
 */
public final class RegionRule implements InstanceRule {

    private final Map<String, String> regions;

    /**
     * Creates a rule.
     *
     * @param regions the region of each failure domain; failure domains without a name are ignored, and so are empty
     *     names of regions
     */
    public RegionRule(Map<String, String> regions) {
        Map<String, String> named = new HashMap<>(regions);
        named.keySet().removeIf(String::isEmpty);
        named.values().removeIf(String::isEmpty);
        this.regions = Map.copyOf(named);
    }

    @Override
    public Verdict judge(InstanceState state, InstanceQuery query, int load, long nowMillis) {
        Set<String> allowed = query.terms().allowedRegions();
        if (allowed.isEmpty()) {
            return Verdict.ALLOWED;
        }
        String region = regions.get(state.instance().failureDomain());
        return region != null && allowed.contains(region) ? Verdict.ALLOWED : Verdict.EXCLUDED;
    }
}
