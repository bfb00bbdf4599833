package io.oleandermoor.state.admission;

import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Deterministic simulation of a queue in front of an upstream with four slots, each of which serves one token per
 * millisecond.
 */
final class QueueSimulation {

    /** Load of one team in tokens per second; the upstream serves 4,000. */
    record TeamLoad(String team, long weight, RequestClass requestClass, long tokensPerSecond) {}

    private record RunningJob(long endMillis, long id, long actualTokens) {}

    private static final int MEAN_REQUEST_TOKENS = 400;
    private static final long START_TIMEOUT_MILLIS = 3_000;

    final FairQueue<Long> queue;
    private final Map<String, Long> served = new HashMap<>();
    private final Map<String, List<Long>> waitsMillis = new HashMap<>();
    private final Map<Long, Long> offered = new HashMap<>();
    private final PriorityQueue<RunningJob> running =
            new PriorityQueue<>((a, b) -> Long.compare(a.endMillis(), b.endMillis()));
    private final Map<String, UniformRandomProvider> randoms = new HashMap<>();
    private final long seed;
    private long nextId;

    QueueSimulation(QueueSettings settings, long seed) {
        this.queue = new FairQueue<>(settings);
        this.seed = seed;
    }

    static QueueSettings settings(AdmissionPolicy policy, int batchSharePercent) {
        return new QueueSettings(policy, 4, 200, 1, 1, batchSharePercent);
    }

    /** Runs the loads for the given time. */
    QueueSimulation run(long millis, TeamLoad... loads) {
        for (long now = 0; now < millis; now++) {
            while (!running.isEmpty() && running.peek().endMillis() <= now) {
                RunningJob job = running.remove();
                queue.finished(job.id(), job.actualTokens(), now);
            }
            for (TeamLoad load : loads) {
                if (random(load).nextInt(MEAN_REQUEST_TOKENS * 1_000) < load.tokensPerSecond()) {
                    offer(load, now);
                }
            }
            queue.expire(now);
            start(now);
        }
        return this;
    }

    /**
     * Returns the random source of the team. Each team has its own, so the load of one team does not affect that of
     * another.
     */
    private UniformRandomProvider random(TeamLoad load) {
        return randoms.computeIfAbsent(
                load.team(), team -> RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + team.hashCode()));
    }

    private void offer(TeamLoad load, long now) {
        long id = nextId++;
        long tokens = 1 + random(load).nextInt(2 * MEAN_REQUEST_TOKENS);
        offered.put(id, now);
        TeamName team = new TeamName(load.team());
        Deadline deadline = Deadline.after(now, START_TIMEOUT_MILLIS);
        queue.offer(new WaitingRequest<>(id, team, load.weight(), load.requestClass(), tokens, deadline), now);
    }

    private void start(long now) {
        queue.poll(now).ifPresent(request -> {
            long actual = request.tokens() / 2 + 1;
            running.add(new RunningJob(now + actual, request.key(), actual));
            String name = request.team().value();
            served.merge(name, actual, Long::sum);
            waitsMillis.computeIfAbsent(name, key -> new ArrayList<>()).add(now - offered.get(request.key()));
        });
    }

    long served(String team) {
        return served.getOrDefault(team, 0L);
    }

    /** Returns the 95th percentile of the wait of the served requests of the team. */
    long waitAtP95(String team) {
        List<Long> sorted = new ArrayList<>(waitsMillis.getOrDefault(team, List.of(Long.MAX_VALUE)));
        sorted.sort(null);
        return sorted.get(sorted.size() * 95 / 100);
    }
}
