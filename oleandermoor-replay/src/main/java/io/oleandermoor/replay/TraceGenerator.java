package io.oleandermoor.replay;

import io.oleandermoor.state.admission.RequestClass;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.AdapterName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Generates a trace, second by second, from a seed. Equal arguments give equal traces. */
public final class TraceGenerator implements TraceSource {

    /** Demand at the peak in percent of a team's rate. */
    private static final int PEAK_PERCENT = 60;

    private static final int NIGHT_PERCENT = 15;
    private static final int BATCH_PERCENT = 70;
    /** Demand of the overloading team in percent of its rate. */
    private static final int OVERLOAD_PERCENT = 400;

    private static final int MEAN_PROMPT = 160;
    private static final int MEAN_OUTPUT = 60;
    private static final long LIVE_DEADLINE_MILLIS = 2_000;
    private static final long BATCH_DEADLINE_MILLIS = 30_000;
    private static final int CRASHES = 6;
    private static final int CRASH_GROUP = 1_000_000;

    private final Deployment deployment;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final ArrayDeque<TraceEvent> pending = new ArrayDeque<>();
    private int second;

    /**
     * Creates a generator.
     *
     * @param site the deployment
     * @param scenario what happens
     * @param seed determines the trace
     */
    public TraceGenerator(Site site, Scenario scenario, long seed) {
        this.deployment = site.deployment(scenario.timeFactor());
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public Deployment deployment() {
        return deployment;
    }

    @Override
    public Optional<TraceEvent> next() {
        while (pending.isEmpty() && second < scenario.seconds()) {
            generateSecond();
            second++;
        }
        return Optional.ofNullable(pending.poll());
    }

    private void generateSecond() {
        List<TraceEvent> events = new ArrayList<>();
        for (int team = 0; team < deployment.teams().size(); team++) {
            double tokens = deployment.teams().get(team).rate() * demandPercent(team) / 100.0;
            int requests = poisson(tokens / (MEAN_PROMPT + MEAN_OUTPUT));
            for (int index = 0; index < requests; index++) {
                events.add(request(team));
            }
        }
        addFaults(events);
        events.sort(Comparator.comparingLong(TraceEvent::millis));
        pending.addAll(events);
    }

    /** Returns the demand of a team. Shops of a later team close an hour later; batches run while they are closed. */
    private int demandPercent(int team) {
        if (scenario == Scenario.OVERLOAD && team == 1 && inMiddle(3)) {
            return OVERLOAD_PERCENT;
        }
        if (isDaytime(team)) {
            return PEAK_PERCENT;
        }
        return isBatchTeam(team) ? BATCH_PERCENT : NIGHT_PERCENT;
    }

    private boolean isDaytime(int team) {
        if (scenario.timeFactor() == 1) {
            return true;
        }
        // An outage covers the closing hours from 14:00 to 24:00; the day starts at midnight.
        double start = scenario == Scenario.STORE_OUTAGE ? 14 : 0;
        double hour = start + second * scenario.timeFactor() / 3_600.0;
        return hour >= 7 + team && hour < 16 + team;
    }

    private static boolean isBatchTeam(int team) {
        return team == 0;
    }

    private boolean inMiddle(int parts) {
        return second >= scenario.seconds() / parts && second < scenario.seconds() - scenario.seconds() / parts;
    }

    private TraceEvent.Request request(int teamNumber) {
        Team team = deployment.teams().get(teamNumber);
        boolean batch = isBatchTeam(teamNumber) && !isDaytime(teamNumber);
        // Popularity falls with the rank of a model, and each team prefers other models.
        double uniform = random.nextDouble();
        int models = deployment.models().size();
        int rank = (int) (uniform * uniform * models);
        Model model = deployment.models().get((rank + teamNumber * 5) % models);
        List<AdapterName> adapters = deployment.adapters().stream()
                .filter(adapter -> adapter.model().equals(model.name()))
                .map(Adapter::name)
                .toList();
        Optional<AdapterName> adapter = !adapters.isEmpty() && random.nextInt(3) == 0
                ? Optional.of(adapters.get(random.nextInt(adapters.size())))
                : Optional.empty();
        return new TraceEvent.Request(
                second * 1_000L + random.nextInt(1_000),
                team.name(),
                batch ? RequestClass.BATCH : RequestClass.LIVE,
                model.name(),
                adapter,
                length(MEAN_PROMPT),
                length(MEAN_OUTPUT),
                random.nextInt(200),
                batch ? BATCH_DEADLINE_MILLIS : LIVE_DEADLINE_MILLIS,
                random.nextInt(10) != 0,
                false);
    }

    private int length(int mean) {
        return mean / 2 + random.nextInt(mean);
    }

    private void addFaults(List<TraceEvent> events) {
        long millis = second * 1_000L;
        int quarter = scenario.seconds() / 4;
        switch (scenario) {
            case DOMAIN_LOSS -> {
                if (second == quarter || second == 2 * quarter) {
                    events.add(new TraceEvent.DomainChanged(
                            millis, deployment.engines().get(0).domain(), second != quarter));
                }
            }
            case STORE_OUTAGE -> {
                if (second == quarter || second == 3 * quarter) {
                    events.add(new TraceEvent.StoreChanged(millis, second != quarter));
                }
            }
            case ROLLING_REPLACEMENT -> {
                int entry = second / quarter - 1;
                if (second % quarter == 0 && entry >= 0 && entry < deployment.entries()) {
                    events.add(new TraceEvent.EntryReplaced(millis, entry));
                }
            }
            case CRASHING_REQUEST -> {
                if (second >= quarter && (second - quarter) % 10 == 0 && second < quarter + 10 * CRASHES) {
                    events.add(crashing(millis));
                }
            }
            default -> {
                // In the other scenarios only the demand differs.
            }
        }
    }

    private TraceEvent.Request crashing(long millis) {
        return new TraceEvent.Request(
                millis,
                deployment.teams().get(0).name(),
                RequestClass.LIVE,
                deployment.models().get(0).name(),
                Optional.empty(),
                MEAN_PROMPT,
                MEAN_OUTPUT,
                CRASH_GROUP,
                LIVE_DEADLINE_MILLIS,
                true,
                true);
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }
}
