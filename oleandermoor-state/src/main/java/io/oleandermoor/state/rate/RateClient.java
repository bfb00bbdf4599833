package io.oleandermoor.state.rate;

import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Spends tokens of one group of teams in one entry. The tokens come from grants of the rate owner or, without a valid
 * session, from the floor of the entry: the small part of rate and burst that each entry may spend without an owner.
 *
 * <p>The caller reserves tokens for each request. On {@link RateDecision.AskOwner} it sends {@link #nextRequest} to the
 * owner, passes the response to {@link #accept}, and reserves again for every waiting request; without a response it
 * reserves again after {@value RateSettings#REQUEST_TIMEOUT_MILLIS} ms. Between requests it calls {@link #nextRequest}
 * about every 50 ms and sends what it returns. When a request has ended it calls {@link #settle}.
 *
 * <p>A caller that can wait longer than the retry time of a refusal should wait and reserve again, because tokens often
 * become available earlier than stated.
 *
 * <p>Tokens count as spent at the time passed to {@link #reserve}; the caller must read its clock immediately before.
 *
 * <p>Without an owner, a response may come from a pool of floors. The client accepts it only if it could use its own
 * floor at that time, and contributes the floor to that pool with the next request. Until the contribution has ended,
 * it neither uses its floor nor accepts a response of an owner or of another pool. It spends tokens of a pool for up to
 * {@value RateSettings#POOL_TOKEN_VALIDITY_MILLIS} ms and gives up the rest.
 *
 * <p>Only one request is in flight at a time. A response to an earlier request is never accepted, so the owner knows
 * which grants were not received. Teams without demand use no memory after their tokens have been returned.
 *
 * <p>Not thread-safe; the caller must hold the lock of the rate table.
 */
public final class RateClient {

    /** Number of consecutive lost or declined requests after which callers no longer wait for the owner. */
    private static final int MAXIMUM_CONSECUTIVE_FAILURES = 2;

    /** Number of requests sent immediately after joining a pool; the pool counts the floor from the second one on. */
    private static final int REQUESTS_TO_JOIN_POOL = 2;

    private static final long NEVER = Long.MAX_VALUE;
    private static final long NOT_IN_FLIGHT = -1;

    private final RateSettings settings;
    private final RateClientId client;
    private final Map<TeamName, LocalTeamState> teams = new HashMap<>();
    private final ArrayDeque<LocalTeamState> teamsToReport = new ArrayDeque<>();
    private Map<TeamName, RateLimit> limits = Map.of();
    private long sequence;
    private long inFlightSequence = NOT_IN_FLIGHT;
    private long sentMillis;
    private long sweptMillis;
    private long sessionTerm;
    private long acceptedSequence;
    private long sessionExpiresMillis;
    private boolean sessionValid;
    /** Whether the last session was with a pool, to which the floor is contributed until the session ends. */
    private boolean sessionWithPool;

    private long poolTokensUntilMillis = NEVER;
    private int remainingPoolJoinRequests;
    private long registeredFromMillis;
    private long localStartMillis;
    private int consecutiveFailures;
    private boolean urgent;

    /**
     * Creates a client without tokens.
     *
     * @param settings settings of the deployment
     * @param client identity of this process
     * @param nowMillis time of the process's monotonic clock
     */
    public RateClient(RateSettings settings, RateClientId client, long nowMillis) {
        this.settings = settings;
        this.client = client;
        this.sentMillis = nowMillis - settings.keepAliveIntervalMillis();
        this.sweptMillis = nowMillis;
        this.registeredFromMillis = NEVER;
        this.localStartMillis = settings.policy().asksOwner() ? NEVER : nowMillis;
    }

    /**
     * Replaces the limits of the teams.
     *
     * @param newLimits the limit of each team
     * @param nowMillis current time
     */
    public void configure(Map<TeamName, RateLimit> newLimits, long nowMillis) {
        limits = Map.copyOf(newLimits);
        for (LocalTeamState team : teams.values()) {
            if (localStartMillis <= nowMillis) {
                // Accrues tokens at the old rate up to now.
                refreshLocal(team, nowMillis);
            }
            team.limit = limits.getOrDefault(team.name, new RateLimit(0, 0));
        }
    }

    /**
     * Records that the registration of this process has been written. The floor becomes usable one lease time and one
     * margin later, when the owner has certainly read the registration.
     *
     * @param writtenMillis time at which the write was confirmed
     */
    public void registered(long writtenMillis) {
        registeredFromMillis = writtenMillis + settings.leaseMillis() + settings.marginMillis();
        updateLocalStart();
    }

    /** Records that the registration of this process may be missing. The client stops using its floor. */
    public void unregistered() {
        registeredFromMillis = NEVER;
        updateLocalStart();
    }

    /**
     * Reserves tokens for a request.
     *
     * @param teamName the team
     * @param tokens maximum number of tokens that the request can use, positive
     * @param nowMillis current time
     * @return whether the tokens are granted, must be requested from the owner, or are refused
     */
    public RateDecision reserve(TeamName teamName, long tokens, long nowMillis) {
        if (tokens <= 0) {
            throw new IllegalArgumentException("tokens must be positive: " + tokens);
        }
        LocalTeamState team = teams.get(teamName);
        RateLimit limit = team == null ? limits.get(teamName) : team.limit;
        long maximumTokens = limit == null ? 0 : settings.policy().maximumRequestTokens(settings, limit);
        if (limit == null || tokens > maximumTokens) {
            return new RateDecision.TooLarge(maximumTokens);
        }
        if (team == null) {
            team = new LocalTeamState(teamName, limit, sequence, localStartMillis, nowMillis);
            teams.put(teamName, team);
        }
        expireSession(nowMillis);
        if (sessionValid && team.heldTokens >= tokens) {
            team.heldTokens -= tokens;
            team.recordSpent(tokens, nowMillis);
            enqueueReport(team);
            return granted(team, tokens, sessionTerm, nowMillis);
        }
        if (!sessionValid && tryTakeLocal(team, tokens, nowMillis)) {
            return granted(team, tokens, 0, nowMillis);
        }
        if (!settings.policy().asksOwner()) {
            return new RateDecision.Refused(team.localBucket.millisUntil(TokenUnits.toMicroTokens(tokens)));
        }
        return askOwner(team, tokens, nowMillis);
    }

    private RateDecision askOwner(LocalTeamState team, long tokens, long nowMillis) {
        long retryAfterMillis = team.retryAfterMillis(tokens, nowMillis);
        if (retryAfterMillis > 0) {
            return new RateDecision.Refused(retryAfterMillis);
        }
        if (consecutiveFailures >= MAXIMUM_CONSECUTIVE_FAILURES) {
            return new RateDecision.Refused(retryAfterMillisWithoutOwner(team, tokens));
        }
        team.addWaiting(tokens);
        enqueueReport(team);
        urgent = true;
        return new RateDecision.AskOwner(tokens - team.heldTokens);
    }

    private long retryAfterMillisWithoutOwner(LocalTeamState team, long tokens) {
        if (sessionValid || localStartMillis == NEVER) {
            return RateSettings.REQUEST_TIMEOUT_MILLIS;
        }
        // A lost owner is replaced after its lease has ended.
        return Math.min(settings.leaseMillis(), team.localBucket.millisUntil(TokenUnits.toMicroTokens(tokens)));
    }

    private static RateDecision granted(LocalTeamState team, long tokens, long term, long nowMillis) {
        return new RateDecision.Granted(new Reservation(team.name, tokens, term, team.epoch, nowMillis));
    }

    /**
     * Releases the unused part of a reservation. Unused tokens of a floor are discarded.
     *
     * @param reservation a reservation that has not been settled before
     * @param usedTokens number of tokens that the request used; a value above the reservation counts as all of it
     */
    public void settle(Reservation reservation, long usedTokens) {
        if (usedTokens < 0) {
            throw new IllegalArgumentException("usedTokens must not be negative: " + usedTokens);
        }
        long unused = reservation.tokens() - usedTokens;
        RateLimit limit = limits.get(reservation.team());
        if (unused <= 0 || limit == null || reservation.term() == 0 || reservation.term() != sessionTerm) {
            return;
        }
        LocalTeamState team = teams.get(reservation.team());
        if (team == null) {
            team = new LocalTeamState(
                    reservation.team(), limit, sequence, localStartMillis, reservation.reservedMillis());
            teams.put(reservation.team(), team);
        }
        if (sessionValid && !sessionWithPool && team.epoch == reservation.epoch()) {
            // The owner still counts these tokens as held.
            team.heldTokens += unused;
        } else {
            team.addCredit(unused, reservation.reservedMillis());
        }
        enqueueReport(team);
    }

    /**
     * Returns the request to send now, if any. A request is due immediately while a caller waits, and otherwise when
     * the state of a team has changed or the session must be kept alive.
     *
     * @param nowMillis current time
     * @return a request with the demands of all changed teams
     */
    public Optional<RateRequest> nextRequest(long nowMillis) {
        if (!settings.policy().asksOwner()) {
            sweepIdleTeams(nowMillis);
            return Optional.empty();
        }
        expireSession(nowMillis);
        long sinceSent = nowMillis - sentMillis;
        if (inFlightSequence != NOT_IN_FLIGHT) {
            if (sinceSent < RateSettings.REQUEST_TIMEOUT_MILLIS) {
                return Optional.empty();
            }
            inFlightSequence = NOT_IN_FLIGHT;
            consecutiveFailures++;
        }
        sweepIdleTeams(nowMillis);
        boolean due = sinceSent
                >= (sessionWithPool ? settings.poolKeepAliveIntervalMillis() : settings.keepAliveIntervalMillis());
        if (consecutiveFailures == 0) {
            due |= urgent || (!teamsToReport.isEmpty() && sinceSent >= RateSettings.MINIMUM_REPORT_INTERVAL_MILLIS);
        } else {
            due |= sinceSent >= RateSettings.REQUEST_TIMEOUT_MILLIS;
        }
        return due ? Optional.of(buildRequest(nowMillis)) : Optional.empty();
    }

    private RateRequest buildRequest(long nowMillis) {
        sequence++;
        if (sessionWithPool) {
            teams.values().stream().filter(team -> team.heldTokens > 0).forEach(this::enqueueReport);
        }
        List<TeamDemand> demands = new ArrayList<>(teamsToReport.size());
        for (LocalTeamState team = teamsToReport.poll(); team != null; team = teamsToReport.poll()) {
            team.reportQueued = false;
            team.epoch = sequence;
            demands.add(sessionWithPool ? team.takePoolDemand(nowMillis) : team.takeDemand(sessionValid, nowMillis));
        }
        urgent = false;
        inFlightSequence = sequence;
        sentMillis = nowMillis;
        return new RateRequest(client, sequence, sessionTerm, acceptedSequence, demands);
    }

    /**
     * Processes a response. A late, repeated or declined response adds no tokens.
     *
     * @param response the response
     * @param nowMillis current time
     * @return whether the response was accepted; in both cases the caller reserves again for waiting requests
     */
    public boolean accept(RateResponse response, long nowMillis) {
        expireSession(nowMillis);
        if (response.sequence() != inFlightSequence) {
            return false;
        }
        inFlightSequence = NOT_IN_FLIGHT;
        urgent = false;
        teamsToReport.forEach(LocalTeamState::clearWaiting);
        long expiresMillis = sentMillis + response.validMillis();
        if (expiresMillis <= nowMillis || !isAcceptable(response, nowMillis)) {
            consecutiveFailures++;
            return false;
        }
        if (!isSameSession(response)) {
            // The lease of the previous owner has ended, and its grants are no longer valid.
            discardHeldTokens();
            teams.values().forEach(LocalTeamState::clearRefusal);
            sessionExpiresMillis = expiresMillis;
            sessionWithPool = response.pool();
            remainingPoolJoinRequests = sessionWithPool ? REQUESTS_TO_JOIN_POOL : 0;
        }
        consecutiveFailures = 0;
        sessionTerm = response.term();
        acceptedSequence = response.sequence();
        sessionExpiresMillis = Math.max(sessionExpiresMillis, expiresMillis);
        poolTokensUntilMillis = sessionWithPool ? sentMillis + RateSettings.POOL_TOKEN_VALIDITY_MILLIS : NEVER;
        sessionValid = true;
        updateLocalStart();
        if (remainingPoolJoinRequests > 0) {
            remainingPoolJoinRequests--;
            urgent = true;
        }
        for (TeamGrant grant : response.grants()) {
            LocalTeamState team = teams.get(grant.team());
            if (team != null) {
                team.heldTokens += grant.tokens();
                team.recordAnswer(grant.retryAfterMillis(), nowMillis);
            }
        }
        return true;
    }

    private boolean isSameSession(RateResponse response) {
        return response.term() == sessionTerm && response.pool() == sessionWithPool;
    }

    private boolean isAcceptable(RateResponse response, long nowMillis) {
        if (response.term() < sessionTerm) {
            return false;
        }
        if (response.pool()) {
            return isSameSession(response) ? registeredFromMillis <= nowMillis : localStartMillis <= nowMillis;
        }
        // An owner counts the floor of an entry with a session as unused.
        return response.owner() && floorPooledUntilMillis() <= nowMillis;
    }

    /**
     * Returns the time from which the floor is certainly no longer contributed to a pool. The registration of a
     * stopping process must not be removed earlier.
     *
     * @return a time, in the past if the floor is not contributed
     */
    public long floorPooledUntilMillis() {
        return sessionWithPool ? sessionExpiresMillis + settings.poolGraceMillis() : Long.MIN_VALUE;
    }

    /**
     * Returns the number of teams for which the client keeps state.
     *
     * @return a count, for metrics
     */
    public int teamCount() {
        return teams.size();
    }

    private void expireSession(long nowMillis) {
        if (sessionValid && nowMillis >= sessionExpiresMillis) {
            sessionValid = false;
            discardHeldTokens();
        } else if (nowMillis >= poolTokensUntilMillis) {
            poolTokensUntilMillis = NEVER;
            discardHeldTokens();
        }
    }

    private void discardHeldTokens() {
        sequence++;
        for (LocalTeamState team : teams.values()) {
            team.heldTokens = 0;
            team.epoch = sequence;
        }
    }

    /**
     * Updates the time at which the floor, empty at first, becomes usable: after the owner has certainly stopped
     * counting the session.
     */
    private void updateLocalStart() {
        if (!settings.policy().asksOwner()) {
            return;
        }
        localStartMillis = registeredFromMillis == NEVER || sessionTerm == 0
                ? registeredFromMillis
                : Math.max(
                        registeredFromMillis,
                        Math.max(floorPooledUntilMillis(), sessionExpiresMillis + 2 * settings.marginMillis()));
    }

    private boolean tryTakeLocal(LocalTeamState team, long tokens, long nowMillis) {
        if (nowMillis < localStartMillis) {
            return false;
        }
        refreshLocal(team, nowMillis);
        return team.localBucket.tryTake(TokenUnits.toMicroTokens(tokens));
    }

    private void refreshLocal(LocalTeamState team, long nowMillis) {
        if (team.localStartMillis != localStartMillis || team.localBucket.capacityMicro() == 0) {
            team.localStartMillis = localStartMillis;
            team.localBucket.configure(0, 0, localStartMillis);
        }
        team.localBucket.configure(
                settings.policy().localRate(settings, team.limit),
                settings.policy().localBurst(settings, team.limit),
                localStartMillis);
        team.localBucket.advance(nowMillis);
    }

    private void enqueueReport(LocalTeamState team) {
        if (!team.reportQueued) {
            team.reportQueued = true;
            teamsToReport.add(team);
        }
    }

    /** Queues reports for teams that hold too few or too many tokens, and removes idle teams without tokens. */
    private void sweepIdleTeams(long nowMillis) {
        if (nowMillis - sweptMillis < RateSettings.SWEEP_INTERVAL_MILLIS) {
            return;
        }
        sweptMillis = nowMillis;
        Iterator<LocalTeamState> iterator = teams.values().iterator();
        while (iterator.hasNext()) {
            LocalTeamState team = iterator.next();
            if (sessionValid && !sessionWithPool && team.isOffTarget(nowMillis)) {
                enqueueReport(team);
            } else if (team.isIdle(nowMillis)
                    && !team.reportQueued
                    && team.heldTokens == 0
                    && localIsFull(team, nowMillis)) {
                iterator.remove();
            }
        }
    }

    private boolean localIsFull(LocalTeamState team, long nowMillis) {
        if (nowMillis < localStartMillis) {
            return true;
        }
        refreshLocal(team, nowMillis);
        return team.localBucket.levelMicro() == team.localBucket.capacityMicro();
    }
}
