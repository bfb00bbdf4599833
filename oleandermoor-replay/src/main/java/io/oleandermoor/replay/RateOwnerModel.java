package io.oleandermoor.replay;

import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateLimit;
import io.oleandermoor.state.rate.RateOwner;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.RateSettings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The elected rate owner: a fake lease around the decision core. */
final class RateOwnerModel {

    private final World world;
    final RateSettings settings;
    final Set<RateClientId> registrations = new HashSet<>();
    private Map<TeamName, RateLimit> limits;
    private RateOwner owner;
    private long term = 1;
    private long leaseEndMillis;

    RateOwnerModel(World world, RateSettings settings, Map<TeamName, RateLimit> limits) {
        this.world = world;
        this.settings = settings;
        this.limits = Map.copyOf(limits);
        this.owner = elect();
        world.schedule.every(settings.leaseMillis() / 3, this::renew);
    }

    Map<TeamName, RateLimit> limits() {
        return limits;
    }

    void configure(TeamName team, RateLimit limit) {
        Map<TeamName, RateLimit> changed = new HashMap<>(limits);
        changed.put(team, limit);
        limits = Map.copyOf(changed);
        owner.configure(limits, world.schedule.now());
    }

    Optional<RateResponse> handle(RateRequest request) {
        return owner.handle(request, world.schedule.now());
    }

    private RateOwner elect() {
        long now = world.schedule.now();
        leaseEndMillis = now + settings.leaseMillis();
        RateOwner elected = new RateOwner(settings, term++, leaseEndMillis - settings.marginMillis());
        elected.configure(limits, now);
        elected.updateRegistrations(registrations, now, now);
        return elected;
    }

    private void renew() {
        if (!world.storeAvailable) {
            return;
        }
        long now = world.schedule.now();
        if (now < leaseEndMillis) {
            leaseEndMillis = now + settings.leaseMillis();
            owner.leaseRenewed(leaseEndMillis - settings.marginMillis());
            owner.updateRegistrations(registrations, now, now);
        } else {
            owner = elect();
        }
    }
}
