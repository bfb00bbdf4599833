package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Holds the buckets of one group of teams and grants tokens to entries. A new object is created for each term of the
 * ownership; its buckets start empty.
 *
 * <p><b>Limit.</b> For each team, the sum of the tokens in the bucket, the tokens outstanding at entries and the burst
 * of all floors never exceeds the burst of the team, so spending in any interval of length t is at most rate·t + burst.
 * Tokens accrue 1% slower than configured because clock rates may differ by that much.
 *
 * <p><b>Sessions.</b> Each response makes all tokens of the entry valid for a period that the entry measures from when
 * it sent the request. The owner measures the period from when it received the request and counts the tokens as
 * outstanding until one margin after its end. No session extends beyond the lease of the owner, so a successor finds no
 * outstanding tokens and can grant immediately. An owner that stops early must keep its lease until
 * {@link #sessionsExpiredFromMillis}.
 *
 * <p><b>Floors.</b> A floor is the small part of rate and burst that an entry may spend without an owner. A session
 * suspends the floor of the entry. The owner relies on the suspension only for the validity period of a response that
 * the entry has confirmed, measured from when the owner received the previously confirmed request. That time is
 * certainly earlier than the start of the session at the entry.
 *
 * <p><b>Pool.</b> An owner whose lease has expired becomes a pool of contributed floors. It starts with empty buckets
 * after all its sessions have ended. An entry that confirms a response contributes its floor for the validity of that
 * response and does not use the floor itself during that time; a successor counts the floor as in use. Buckets of the
 * pool accrue at the rate of the contributed floors, and the sum of their level and the outstanding tokens is at most
 * the burst of these floors. An entry that ends its contribution waits until the tokens granted against it have
 * expired. A pool therefore needs no lease, and several pools together keep the limit.
 *
 * <p><b>Large requests.</b> A request up to the burst less the burst of all floors (95% by default) is always granted
 * eventually. When the bucket does not cover a request, a claim sets tokens aside for requests of at least that size:
 * half of the accrued tokens, while smaller requests use the other half. No tokens are granted ahead of demand during
 * that time, so tokens held by other entries are spent, returned after {@value RateSettings#IDLE_TIMEOUT_MILLIS} ms
 * without demand, or expire.
 *
 * <p>Not thread-safe; the caller must hold the lock of the rate table. A request costs O(demands + log entries), plus
 * O(teams) when the session of an entry begins or ends.
 */
public final class RateOwner {

    /** Time for which tokens stay set aside for a claim after the retry time stated in the response. */
    private static final long CLAIM_GRACE_MILLIS = 2_000;

    private record SessionEvent(long millis, OwnerSession session) {}

    private final RateSettings settings;
    private final long term;
    private final Map<TeamName, OwnerBucket> buckets = new HashMap<>();
    private final Map<RateClientId, OwnerSession> sessions = new HashMap<>();
    private final PriorityQueue<SessionEvent> events =
            new PriorityQueue<>(Comparator.comparingLong(SessionEvent::millis));
    private Set<RateClientId> registered = Set.of();
    private long registrationsReadMillis;
    private boolean registrationsRead;
    private long leaseUntilMillis;
    private BucketSource source = BucketSource.TEAM_LIMIT;
    private boolean retired;
    /** Number of floors in use by registered entries, or of floors contributed to this pool. */
    private int countedFloors;

    /**
     * Creates an owner that grants nothing before {@link #updateRegistrations} has been called.
     *
     * @param settings settings of the deployment
     * @param term fencing number of the lease, positive
     * @param leaseUntilMillis time of the local clock at which the lease expires, measured from when its acquisition
     *     was sent and reduced by the allowance for clock drift
     */
    public RateOwner(RateSettings settings, long term, long leaseUntilMillis) {
        if (term <= 0) {
            throw new IllegalArgumentException("term must be positive: " + term);
        }
        this.settings = settings;
        this.term = term;
        this.leaseUntilMillis = leaseUntilMillis;
    }

    /**
     * Extends the lease after a successful renewal. Has no effect on a pool.
     *
     * @param untilMillis new end of the lease; an end earlier than the current one has no effect
     */
    public void leaseRenewed(long untilMillis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
    }

    /** Ends the ownership early. Requests are answered again, as a pool, after the lease would have expired. */
    public void retire() {
        retired = true;
    }

    /**
     * Replaces the set of entries that may use a floor. An entry may be removed only when its process certainly no
     * longer uses its floor or contributes it to a pool. Has no effect on a pool.
     *
     * @param clients all registered processes
     * @param readMillis time at which the read of the registrations was sent
     * @param nowMillis current time
     */
    public void updateRegistrations(Set<RateClientId> clients, long readMillis, long nowMillis) {
        if (isPool()) {
            return;
        }
        advance(nowMillis);
        registered = Set.copyOf(clients);
        registrationsReadMillis = readMillis;
        registrationsRead = true;
        long suspended = sessions.values().stream()
                .filter(session -> session.floorSuspended() && registered.contains(session.client))
                .count();
        countedFloors = registered.size() - (int) suspended;
        buckets.values().forEach(bucket -> apply(bucket, bucket.limit(), nowMillis));
    }

    /**
     * Sets the limits of all teams of the group. A new team starts with an empty bucket. Lowering a burst takes effect
     * on the bucket immediately.
     *
     * @param limits the limit of each team
     * @param nowMillis current time
     */
    public void configure(Map<TeamName, RateLimit> limits, long nowMillis) {
        advance(nowMillis);
        Iterator<Map.Entry<TeamName, OwnerBucket>> iterator = buckets.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<TeamName, OwnerBucket> entry = iterator.next();
            if (!limits.containsKey(entry.getKey())) {
                apply(entry.getValue(), new RateLimit(0, 0), nowMillis);
                // A bucket with outstanding tokens is kept until they are settled, in case the team is added again.
                if (entry.getValue().outstandingMicro() == 0) {
                    iterator.remove();
                }
            }
        }
        limits.forEach((team, limit) -> apply(
                buckets.computeIfAbsent(team, name -> new OwnerBucket(source, limit, nowMillis)), limit, nowMillis));
    }

    private void apply(OwnerBucket bucket, RateLimit limit, long nowMillis) {
        bucket.configure(
                limit,
                settings.policy().localRate(settings, limit),
                settings.policy().localBurst(settings, limit),
                Math.max(settings.maximumEntries(), registered.size()),
                countedFloors,
                nowMillis);
    }

    /**
     * Processes a request and returns the response.
     *
     * @param request the request
     * @param nowMillis current time
     * @return the response; empty for a request that is not newer than the last one answered
     */
    public Optional<RateResponse> handle(RateRequest request, long nowMillis) {
        if (nowMillis >= leaseUntilMillis && source == BucketSource.TEAM_LIMIT) {
            startPool(nowMillis);
        }
        boolean pool = isPool();
        long validMillis = pool
                ? settings.validMillis()
                : Math.min(settings.validMillis(), leaseUntilMillis - settings.marginMillis() - nowMillis);
        boolean mayGrant = pool || (!retired && registrationsAreCurrent(nowMillis));
        if (!mayGrant || validMillis < RateSettings.REQUEST_TIMEOUT_MILLIS) {
            return Optional.of(RateResponse.notOwner(request.sequence()));
        }
        advance(nowMillis);
        OwnerSession session = sessions.get(request.client());
        if (session == null) {
            session = new OwnerSession(request.client());
            sessions.put(request.client(), session);
        } else if (session.isStale(request.sequence())) {
            return Optional.empty();
        }
        long accepted = request.term() == term ? request.acceptedSequence() : -1;
        settleLastResponse(session, accepted, nowMillis);
        long sentAfterMillis = session.sentAfterMillis(accepted);
        long untilMillis = nowMillis + validMillis + settings.marginMillis();
        session.recordRequest(request, sentAfterMillis, validMillis, untilMillis, nowMillis);
        schedule(session);
        List<TeamGrant> grants = new ArrayList<>(request.demands().size());
        for (TeamDemand demand : request.demands()) {
            OwnerBucket bucket = buckets.get(demand.team());
            if (bucket == null) {
                continue;
            }
            bucket.advance(nowMillis);
            applyReport(session, bucket, demand, sentAfterMillis, nowMillis);
            if (demand.wanted() > 0) {
                grants.add(grant(session, bucket, demand, nowMillis));
            }
        }
        if (pool) {
            // An entry does not keep tokens of a pool beyond its next request.
            session.removeHeld().forEach((team, tokens) -> recordSpent(team, tokens, nowMillis));
        }
        return Optional.of(new RateResponse(request.sequence(), !pool, term, validMillis, grants));
    }

    /**
     * Returns the time from which no entry can spend tokens of this owner, provided that no request is answered until
     * then. An owner that gives up its lease early must wait until then.
     *
     * @param nowMillis current time
     * @return a time, at least {@code nowMillis}
     */
    public long sessionsExpiredFromMillis(long nowMillis) {
        return sessions.values().stream().mapToLong(OwnerSession::expiresMillis).reduce(nowMillis, Math::max);
    }

    /**
     * Returns the fencing number of the lease.
     *
     * @return the term
     */
    public long term() {
        return term;
    }

    /**
     * Returns whether this owner has become a pool of contributed floors.
     *
     * @return true from the first request after the lease has expired
     */
    public boolean isPool() {
        return source == BucketSource.POOLED_FLOORS;
    }

    /**
     * Returns the number of entries with a session.
     *
     * @return a count, for metrics
     */
    public int sessionCount() {
        return sessions.size();
    }

    /**
     * Turns this owner into a pool with empty buckets. All sessions have ended, because none extends beyond the lease.
     */
    private void startPool(long nowMillis) {
        source = BucketSource.POOLED_FLOORS;
        sessions.clear();
        events.clear();
        countedFloors = 0;
        Map<TeamName, RateLimit> limits = new HashMap<>();
        buckets.forEach((team, bucket) -> limits.put(team, bucket.limit()));
        buckets.clear();
        configure(limits, nowMillis);
    }

    private boolean registrationsAreCurrent(long nowMillis) {
        // A new registration takes effect one lease time and one margin after it was written.
        return registrationsRead && nowMillis - registrationsReadMillis <= settings.leaseMillis();
    }

    private void settleLastResponse(OwnerSession session, long accepted, long nowMillis) {
        if (session.acceptedLast(accepted)) {
            session.confirmPending();
            suspendFloor(session, nowMillis);
            return;
        }
        // The entry has sent a later request without confirming that response and will never accept it.
        for (OwnerSession.PendingGrant grant : session.removePending()) {
            OwnerBucket bucket = buckets.get(grant.team());
            if (bucket != null) {
                bucket.advance(nowMillis);
                bucket.returnUnspent(TokenUnits.toMicroTokens(grant.tokens()), countedFloors, nowMillis);
            }
        }
    }

    private void applyReport(
            OwnerSession session, OwnerBucket bucket, TeamDemand demand, long sentAfterMillis, long nowMillis) {
        long before = session.held(demand.team());
        long held = Math.min(before, demand.held());
        long returned = Math.min(before - held, demand.returned());
        bucket.recordSpent(TokenUnits.toMicroTokens(before - held - returned), countedFloors, nowMillis);
        bucket.returnUnspent(TokenUnits.toMicroTokens(returned), countedFloors, nowMillis);
        session.setHeld(demand.team(), held);
        if (demand.credited() > 0 && sentAfterMillis != OwnerSession.UNKNOWN_MILLIS) {
            // The age is measured by the entry's clock, which may be slower than the owner's by 2.1%.
            long age = demand.creditAgeMillis() + demand.creditAgeMillis() * 21 / 1_000 + 1;
            bucket.creditUnused(TokenUnits.toMicroTokens(demand.credited()), sentAfterMillis - age);
        }
    }

    private TeamGrant grant(OwnerSession session, OwnerBucket bucket, TeamDemand demand, long nowMillis) {
        long missing = TokenUnits.toMicroTokens(demand.largest());
        // The size of the whole request; the entry may already hold a part of it.
        long size = missing == 0 ? 0 : missing + TokenUnits.toMicroTokens(session.held(demand.team()));
        long available = bucket.available(size);
        long needed = TokenUnits.toMicroTokens(demand.needed());
        long desired = needed;
        long retryAfterMillis = 0;
        if (available >= missing) {
            bucket.endClaim(size);
            long prefetchLimit = bucket.prefetchCapacity(settings.outstandingPercent()) - needed;
            long spare = (available - needed) / 2;
            desired += Math.max(
                    0, Math.min(TokenUnits.toMicroTokens(demand.wanted()) - needed, Math.min(prefetchLimit, spare)));
        } else {
            retryAfterMillis = retryAfterMillis(bucket, missing);
            bucket.startClaim(size, nowMillis + retryAfterMillis + CLAIM_GRACE_MILLIS);
            desired -= missing;
            available = bucket.available(0);
        }
        long tokens = TokenUnits.toWholeTokens(Math.min(desired, available));
        if (tokens > 0) {
            bucket.grant(TokenUnits.toMicroTokens(tokens), countedFloors, nowMillis);
            session.addPending(demand.team(), tokens);
        }
        return new TeamGrant(demand.team(), tokens, retryAfterMillis);
    }

    private long retryAfterMillis(OwnerBucket bucket, long micro) {
        long millis = bucket.millisUntil(micro);
        if (millis < Long.MAX_VALUE) {
            return Math.max(1, millis);
        }
        if (isPool()) {
            // Depends on how many entries contribute their floors, which may change while a contribution lasts.
            return settings.poolKeepAliveIntervalMillis();
        }
        // Outstanding tokens keep the bucket below the amount until they are returned or expire.
        return Math.max(bucket.accrualMillis(micro), settings.validMillis() + settings.marginMillis());
    }

    private void suspendFloor(OwnerSession session, long nowMillis) {
        if (session.floorSuspended() || session.floorSuspendedUntilMillis() <= nowMillis) {
            return;
        }
        session.floorSuspended(true);
        countSuspension(session, 1, nowMillis);
    }

    private void countSuspension(OwnerSession session, int change, long atMillis) {
        if (isPool()) {
            changeFloors(countedFloors + change, atMillis);
        } else if (registered.contains(session.client)) {
            changeFloors(countedFloors - change, atMillis);
        }
    }

    /** Processes the ends of sessions and suspensions up to now, each as of the time at which it occurred. */
    private void advance(long nowMillis) {
        SessionEvent event = events.peek();
        while (event != null && event.millis() <= nowMillis) {
            events.remove();
            OwnerSession session = event.session();
            if (session.consumeEvent(event.millis())) {
                if (session.floorSuspended() && session.floorSuspendedUntilMillis() <= event.millis()) {
                    session.floorSuspended(false);
                    countSuspension(session, -1, event.millis());
                }
                if (session.expiresMillis() <= event.millis()) {
                    expire(session, event.millis());
                } else {
                    schedule(session);
                }
            }
            event = events.peek();
        }
    }

    private void schedule(OwnerSession session) {
        if (session.scheduleEarlierEvent()) {
            events.add(new SessionEvent(session.scheduledEventMillis(), session));
        }
    }

    private void expire(OwnerSession session, long atMillis) {
        sessions.remove(session.client);
        // The entry may have spent the tokens without reporting them.
        for (OwnerSession.PendingGrant grant : session.removePending()) {
            recordSpent(grant.team(), grant.tokens(), atMillis);
        }
        session.held().forEach((team, tokens) -> recordSpent(team, tokens, atMillis));
    }

    private void recordSpent(TeamName team, long tokens, long atMillis) {
        OwnerBucket bucket = buckets.get(team);
        if (bucket != null) {
            bucket.advance(atMillis);
            bucket.recordSpent(TokenUnits.toMicroTokens(tokens), countedFloors, atMillis);
        }
    }

    private void changeFloors(int newFloors, long atMillis) {
        if (newFloors == countedFloors) {
            return;
        }
        countedFloors = newFloors;
        for (OwnerBucket bucket : buckets.values()) {
            bucket.advance(atMillis);
            bucket.updateRateAndCapacity(countedFloors, atMillis);
        }
    }
}
