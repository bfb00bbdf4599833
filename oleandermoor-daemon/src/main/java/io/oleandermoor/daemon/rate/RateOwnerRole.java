package io.oleandermoor.daemon.rate;

import io.oleandermoor.coordination.lease.OwnedRole;
import io.oleandermoor.coordination.lease.Ownership;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateOwner;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.RateSettings;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The rate owner of one group while this process owns the group's name, and afterwards a pool of the floors that
 * entries lend to it, until it owns the name again. Safe for use by several threads; its lock has place 4 in the lock
 * order.
 */
public final class RateOwnerRole implements OwnedRole {

    private final Object lock = new Object();

    private final int group;

    private final RateSettings settings;

    private final Supplier<Configuration> configuration;

    private final LongSupplier nowMillis;

    private final Consumer<Ownership> announce;

    private @Nullable RateOwner owner;

    private @Nullable Ownership ownership;

    /**
     * Creates the role.
     *
     * @param group the group of teams
     * @param settings settings of the deployment
     * @param configuration the configuration in force
     * @param nowMillis the monotonic clock in milliseconds
     * @param announce tells other processes about a new ownership
     */
    public RateOwnerRole(
            int group,
            RateSettings settings,
            Supplier<Configuration> configuration,
            LongSupplier nowMillis,
            Consumer<Ownership> announce) {
        this.group = group;
        this.settings = settings;
        this.configuration = configuration;
        this.nowMillis = nowMillis;
        this.announce = announce;
    }

    @Override
    public void started(Ownership started) {
        synchronized (lock) {
            ownership = started;
            RateOwner next = new RateOwner(settings, started.fencing().value(), started.validUntilMillis());
            next.configure(RateGroups.limits(configuration.get(), group), nowMillis.getAsLong());
            owner = next;
        }
        announce.accept(started);
    }

    @Override
    public void ended(Ownership ended) {
        synchronized (lock) {
            if (owner != null) {
                owner.retire();
            }
            ownership = null;
        }
    }

    /** Applies the limits of the configuration in force. */
    public void configurationChanged() {
        synchronized (lock) {
            if (owner != null) {
                owner.configure(RateGroups.limits(configuration.get(), group), nowMillis.getAsLong());
            }
        }
    }

    /**
     * Takes the registered entries.
     *
     * @param clients all registered processes
     * @param readMillis when the read was sent
     */
    public void registrations(Set<RateClientId> clients, long readMillis) {
        synchronized (lock) {
            if (owner != null) {
                owner.updateRegistrations(clients, readMillis, nowMillis.getAsLong());
            }
        }
    }

    /**
     * Returns whether this process owns the group now.
     *
     * @return true if it answers requests
     */
    public boolean isOwner() {
        synchronized (lock) {
            return ownership != null && ownership.isOwner(nowMillis.getAsLong());
        }
    }

    /**
     * Answers a request of an entry, as owner or as pool.
     *
     * @param request the request
     * @return the answer, or empty for a request that is older than one answered before
     */
    public Optional<RateResponse> handle(RateRequest request) {
        synchronized (lock) {
            RateOwner current = owner;
            Ownership held = ownership;
            long now = nowMillis.getAsLong();
            if (current == null) {
                return Optional.of(new RateResponse(request.sequence(), false, 0, 0, List.of()));
            }
            if (held != null) {
                current.leaseRenewed(held.validUntilMillis());
            }
            if (held == null || !held.isOwner(now)) {
                current.retire();
            }
            return current.handle(request, now);
        }
    }
}
