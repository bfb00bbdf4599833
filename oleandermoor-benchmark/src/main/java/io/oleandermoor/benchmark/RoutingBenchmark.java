package io.oleandermoor.benchmark;

import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.routing.PromptPrefix;
import io.oleandermoor.state.routing.RouteChoice;
import io.oleandermoor.state.routing.RouteQuery;
import io.oleandermoor.state.routing.RouteTarget;
import io.oleandermoor.state.routing.Router;
import io.oleandermoor.state.routing.RoutingPolicy;
import io.oleandermoor.state.routing.RoutingSettings;
import io.oleandermoor.state.routing.RoutingTable;
import io.oleandermoor.state.routing.UpstreamLoad;
import io.oleandermoor.state.routing.UpstreamRecord;
import io.oleandermoor.state.routing.UpstreamStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the choice of an upstream at three sizes of the fleet. The target is well under 10 µs at p99 and no growth
 * with the fleet. Models are drawn with a skew, and a tenth of the upstreams have the most wanted model.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class RoutingBenchmark {

    private static final int DOMAINS = 12;
    private static final int CONVERSATIONS = 4096;
    private static final int PROMPT_BLOCKS = 16;

    /** Number of models and upstreams. */
    @Param({"14/6", "530/4600", "5000/20000"})
    String fleet = "14/6";

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
    private final RoutingTable table = new RoutingTable();
    private final Router router = new Router(table, RoutingSettings.defaults(RoutingPolicy.AFFINITY));
    private final RouteQuery[] queries = new RouteQuery[CONVERSATIONS];
    private final byte[] prompt = new byte[PROMPT_BLOCKS * PromptPrefix.BLOCK_BYTES];
    private long nowMillis = 60_000;
    private int next;
    private RouteQuery query = RouteQuery.forModel(new ModelName("m0"), new FailureDomain("d0"));

    /** Written so that reading the query is not optimised away. */
    public int queryHash;

    /** Fills the table, remembers the prefixes of a number of conversations and reports loads. */
    @Setup
    public void fill() {
        String[] sizes = fleet.split("/", -1);
        int models = Integer.parseInt(sizes[0]);
        int upstreams = Integer.parseInt(sizes[1]);
        for (int index = 0; index < upstreams; index++) {
            UpstreamId id = new UpstreamId("u" + index);
            table.update(record(id, index, models, upstreams), 0);
            table.updateLoad(id, 1, new UpstreamLoad(random.nextInt(12), 0, 16, 0, 1));
        }
        for (int index = 0; index < CONVERSATIONS; index++) {
            random.nextBytes(prompt);
            int model = (int) (models * Math.pow(random.nextDouble(), 3));
            FailureDomain home = new FailureDomain("d" + random.nextInt(DOMAINS));
            queries[index] = RouteQuery.forModel(new ModelName("m" + model), home)
                    .withPrefix(PromptPrefix.of("m" + model, prompt));
        }
        for (int index = 0; index < 4 * CONVERSATIONS; index++) {
            readNextQuery();
            chooseAndSend();
        }
    }

    /**
     * Reads the next query. An entry has just built the query of a request from its text, so the query is in the caches
     * of the processor, unlike the table.
     */
    @Setup(Level.Invocation)
    public void readNextQuery() {
        next = (next + 1) & (CONVERSATIONS - 1);
        query = queries[next];
        queryHash = query.hashCode();
    }

    private static UpstreamRecord record(UpstreamId id, int index, int models, int upstreams) {
        Set<RouteTarget> ready = new HashSet<>();
        int each = Math.max(1, 3 * models / upstreams);
        for (int copy = 0; copy < each; copy++) {
            int model = index % 10 == 0 && copy == 0 ? 0 : (index * each + copy) % models;
            ready.add(new RouteTarget.OfModel(new ModelName("m" + model)));
        }
        FailureDomain domain = new FailureDomain("d" + index % DOMAINS);
        return new UpstreamRecord(id, domain, 1, 1, UpstreamStatus.READY, ready);
    }

    /**
     * Chooses an upstream.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<RouteChoice> choose() {
        return router.choose(query, nowMillis, random);
    }

    /**
     * Chooses an upstream, records the request there and takes the load report of its answer, as an entry does for each
     * request.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<RouteChoice> chooseAndSend() {
        nowMillis++;
        Optional<RouteChoice> choice = router.choose(query, nowMillis, random);
        if (choice.isPresent()) {
            router.recordSend(choice.get(), query.prefix(), nowMillis);
            UpstreamLoad load = new UpstreamLoad(random.nextInt(16), 0, 16, 0, nowMillis);
            table.updateLoad(choice.get().upstream(), 1, load);
        }
        return choice;
    }

    /**
     * Hashes the blocks of a prompt of 4 KiB.
     *
     * @return the hashes
     */
    @Benchmark
    public PromptPrefix hashPrompt() {
        return PromptPrefix.of("model", prompt);
    }
}
