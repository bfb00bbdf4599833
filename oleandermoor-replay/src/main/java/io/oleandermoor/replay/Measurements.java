package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.ledger.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts what is measured in one replay. */
final class Measurements {

    /** Largest recorded time in milliseconds, and the digits kept. */
    private static final long LARGEST_MILLIS = 3_600_000;

    private static final int DIGITS = 2;
    /** Time for which tokens granted under an old limit can still be spent: session and margin. */
    private static final long LIMIT_CHANGE_MILLIS = 5_000;

    private record Spend(long millis, long tokens) {}

    private record Limit(long fromMillis, long rate, long burst) {}

    /** What is counted for one team. */
    static final class OfTeam {
        final Map<RequestClass, Histogram> firstToken = new TreeMap<>();
        final Map<RequestClass, Histogram> queue = new TreeMap<>();
        private final List<Spend> spends = new ArrayList<>();
        private final List<Limit> limits = new ArrayList<>();
        long entitledTokens;
        long attainedTokens;
        long wrongfulByRate;
        long wrongful;
        private double entitledLevel;
        private double demandLevel;
        private long arrivedMillis;

        /** Returns the tokens served in time in relation to those that an ideal bucket admits, at most 1. */
        double attainment() {
            return entitledTokens == 0 ? 1 : Math.min(1, (double) attainedTokens / entitledTokens);
        }
    }

    final Map<TeamName, OfTeam> teams = new TreeMap<>();
    final TimelineRecorder timeline = new TimelineRecorder(ReplayRunner.WARM_UP_MILLIS);
    long requests;
    long answered;
    long ran;
    long retries;
    long blocked;
    long blockedOthers;
    long crashes;
    long modelLoads;
    long attainedTokens;
    double unreachableModelSeconds;

    Measurements(Deployment deployment) {
        deployment.teams().forEach(team -> {
            limit(team, 0);
            ofTeam(team.name()).entitledLevel = team.burst();
            ofTeam(team.name()).demandLevel = team.burst();
        });
    }

    OfTeam ofTeam(TeamName team) {
        return teams.computeIfAbsent(team, name -> new OfTeam());
    }

    long rateOf(TeamName team) {
        return current(ofTeam(team)).rate();
    }

    void limit(Team team, long nowMillis) {
        ofTeam(team.name()).limits.add(new Limit(nowMillis, team.rate(), team.burst()));
    }

    /**
     * Counts an arrival and returns whether the team is within its rate and burst. Requests beyond the limit drain this
     * bucket too, because a team that sends more than its rate is not within it, whichever of its requests are served.
     */
    boolean arrive(TraceEvent.Request request, long nowMillis) {
        requests++;
        OfTeam team = ofTeam(request.team());
        Limit limit = current(team);
        double accrued = limit.rate() * (nowMillis - team.arrivedMillis) / 1_000.0;
        team.arrivedMillis = nowMillis;
        team.entitledLevel = Math.min(limit.burst(), team.entitledLevel + accrued);
        team.demandLevel = Math.min(limit.burst(), team.demandLevel + accrued);
        if (team.entitledLevel >= request.tokens()) {
            team.entitledLevel -= request.tokens();
            team.entitledTokens += request.tokens();
            timeline.entitled(request, nowMillis);
        }
        boolean within = team.demandLevel >= request.tokens();
        team.demandLevel = Math.max(0, team.demandLevel - request.tokens());
        return within;
    }

    void blocked(TraceEvent.Request request) {
        blocked += request.crashes() ? 1 : 0;
        blockedOthers += request.crashes() ? 0 : 1;
    }

    void spent(TeamName team, long millis, long tokens) {
        if (tokens > 0) {
            ofTeam(team).spends.add(new Spend(millis, tokens));
        }
    }

    void answered(RequestRun run, Outcome outcome, Refusal refusal) {
        answered++;
        ran += outcome == Outcome.RAN ? 1 : 0;
        timeline.answered(run, refusal);
        OfTeam team = ofTeam(run.request.team());
        RequestClass requestClass = run.request.requestClass();
        if (run.isAttained() && refusal == Refusal.NONE) {
            team.attainedTokens += run.request.tokens();
            attainedTokens += run.request.tokens();
        }
        if (run.withinRate && (refusal == Refusal.RATE || (refusal == Refusal.UPSTREAM && run.runs == 0))) {
            team.wrongful++;
            team.wrongfulByRate += refusal == Refusal.RATE ? 1 : 0;
        }
        if (run.hasStarted()) {
            record(team.queue, requestClass, run.queueMillis);
        }
        if (run.firstTokenMillis >= 0) {
            record(team.firstToken, requestClass, run.firstTokenMillis - run.arrivedMillis);
        }
    }

    /** Returns the tokens above rate·t + burst, summed over all teams. */
    long tokensOverLimit() {
        long over = 0;
        for (OfTeam team : teams.values()) {
            over += tokensOverLimit(team);
        }
        return over;
    }

    private static long tokensOverLimit(OfTeam team) {
        List<Spend> sorted = new ArrayList<>(team.spends);
        sorted.sort(Comparator.comparingLong(Spend::millis));
        double level = 0;
        long lastMillis = 0;
        double over = 0;
        for (Spend spend : sorted) {
            Limit limit = largest(team, spend.millis());
            level = Math.max(0, level - limit.rate() * (spend.millis() - lastMillis) / 1_000.0) + spend.tokens();
            lastMillis = spend.millis();
            if (level > limit.burst()) {
                over += level - limit.burst();
                level = limit.burst();
            }
        }
        return (long) Math.ceil(over);
    }

    /** Returns the largest limit in force at a time or shortly before. */
    private static Limit largest(OfTeam team, long millis) {
        long rate = 0;
        long burst = 0;
        for (int index = 0; index < team.limits.size(); index++) {
            Limit limit = team.limits.get(index);
            boolean over = index + 1 < team.limits.size()
                    && team.limits.get(index + 1).fromMillis() + LIMIT_CHANGE_MILLIS < millis;
            if (limit.fromMillis() <= millis && !over) {
                rate = Math.max(rate, limit.rate());
                burst = Math.max(burst, limit.burst());
            }
        }
        return new Limit(millis, rate, burst);
    }

    private static Limit current(OfTeam team) {
        return team.limits.get(team.limits.size() - 1);
    }

    private static void record(Map<RequestClass, Histogram> histograms, RequestClass requestClass, long millis) {
        histograms
                .computeIfAbsent(requestClass, key -> new Histogram(LARGEST_MILLIS, DIGITS))
                .recordValue(Math.min(millis, LARGEST_MILLIS));
    }
}
