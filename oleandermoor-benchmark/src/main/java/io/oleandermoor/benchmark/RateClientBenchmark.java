package io.oleandermoor.benchmark;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClient;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateDecision;
import io.oleandermoor.state.rate.RateLimit;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.RateSettings;
import io.oleandermoor.state.rate.TeamGrant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one reservation from a local grant, with 500 active teams. */
@SuppressWarnings("NullAway.Init") // JMH calls the setup method before any benchmark.
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RateClientBenchmark {

    private static final int TEAMS = 500;
    private static final long SESSION_MILLIS = 1_000_000_000L;

    private final List<TeamName> teams = new ArrayList<>();
    private RateClient client;
    private int next;

    /** Creates a client that holds tokens of all teams. */
    @Setup
    public void prepare() {
        Map<TeamName, RateLimit> limits = new HashMap<>();
        List<TeamGrant> grants = new ArrayList<>();
        for (int index = 0; index < TEAMS; index++) {
            TeamName team = new TeamName("team-" + index);
            teams.add(team);
            limits.put(team, new RateLimit(1_000_000, RateLimit.MAXIMUM_TOKENS));
            grants.add(new TeamGrant(team, RateLimit.MAXIMUM_TOKENS, 0));
        }
        client = new RateClient(RateSettings.defaults(340), new RateClientId(new InstanceId("entry-1"), 1), 0);
        client.configure(limits, 0);
        for (TeamName team : teams) {
            RateDecision decision = client.reserve(team, 1, 0);
            if (!(decision instanceof RateDecision.AskOwner)) {
                throw new IllegalStateException("unexpected decision " + decision);
            }
        }
        RateRequest request = client.nextRequest(0).orElseThrow();
        client.accept(new RateResponse(request.sequence(), true, 1, SESSION_MILLIS, grants), 1);
    }

    /**
     * Reserves one token of the next team.
     *
     * @return the decision
     */
    @Benchmark
    public RateDecision reserve() {
        next = (next + 1) % TEAMS;
        return client.reserve(teams.get(next), 1, 2);
    }
}
