package io.oleandermoor.benchmark;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.rate.RateClientId;
import io.oleandermoor.state.rate.RateLimit;
import io.oleandermoor.state.rate.RateOwner;
import io.oleandermoor.state.rate.RateRequest;
import io.oleandermoor.state.rate.RateResponse;
import io.oleandermoor.state.rate.RateSettings;
import io.oleandermoor.state.rate.TeamDemand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one request of an entry with demands for 12 teams, at an owner of 500 teams with 340 entries. */
@SuppressWarnings("NullAway.Init") // JMH calls the setup method before any benchmark.
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RateOwnerBenchmark {

    private static final int ENTRIES = 340;
    private static final int TEAMS = 500;
    private static final int DEMANDS = 12;

    /** 340 entries that send every 200 ms make about two requests in a millisecond. */
    private static final int REQUESTS_PER_MILLIS = 2;

    private final List<RateClientId> clients = new ArrayList<>();
    private final List<List<TeamDemand>> demands = new ArrayList<>();
    private RateOwner owner;
    private long requests;

    /** Creates the owner and the demands of each entry. */
    @Setup
    public void prepare() {
        Map<TeamName, RateLimit> limits = new HashMap<>();
        for (int index = 0; index < TEAMS; index++) {
            limits.put(new TeamName("team-" + index), new RateLimit(1_000_000, 1_000_000));
        }
        for (int entry = 0; entry < ENTRIES; entry++) {
            clients.add(new RateClientId(new InstanceId("entry-" + entry), 1));
            List<TeamDemand> wanted = new ArrayList<>();
            for (int index = 0; index < DEMANDS; index++) {
                TeamName team = new TeamName("team-" + (entry * DEMANDS + index) % TEAMS);
                wanted.add(new TeamDemand(team, 0, 0, 0, 0, 500, 500, 1_000));
            }
            demands.add(List.copyOf(wanted));
        }
        owner = new RateOwner(RateSettings.defaults(ENTRIES), 1, Long.MAX_VALUE / 2);
        // A read time far ahead keeps the registrations current during the whole run.
        owner.updateRegistrations(new HashSet<>(clients), Long.MAX_VALUE / 2, 0);
        owner.configure(limits, 0);
    }

    /**
     * Answers the request of the next entry, which has spent what it received before.
     *
     * @return the response
     */
    @Benchmark
    public Optional<RateResponse> handle() {
        int entry = (int) (requests % ENTRIES);
        long sequence = requests / ENTRIES + 1;
        requests++;
        RateRequest request = new RateRequest(clients.get(entry), sequence, 1, sequence - 1, demands.get(entry));
        return owner.handle(request, requests / REQUESTS_PER_MILLIS);
    }
}
