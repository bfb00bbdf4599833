package io.oleandermoor.replay;

import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.Model;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.TeamName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.placement.LoadPermitLimits;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** The two deployments for which traces are generated. */
public enum Site {
    /** 3 failure domains, 6 engines, 14 models and 40 adapters. */
    CYMRU_WEST(3, 6, 14, 40, new LoadPermitLimits(1.5, 7, 55, 60_000, 5_000)),
    /** 4 failure domains, 13 engines, 26 models and 100 adapters. */
    DK_JYLLAND(4, 13, 26, 100, new LoadPermitLimits(3, 12, 95, 60_000, 5_000));

    /** Part of the rate of all teams for each team: a few are large. */
    static final List<Integer> TEAM_SHARES = List.of(40, 30, 15, 10, 5);

    private static final long ENGINE_MEGABYTES = 80_000;
    private static final int SLOTS = 8;
    private static final int ENTRIES = 3;
    /** Rate of all teams for each engine, in tokens/s; about half of what an engine generates in the replay. */
    private static final int TOKENS_PER_ENGINE = 1_600;
    /** Seconds of rate that a team may use at once. */
    private static final int BURST_SECONDS = 20;

    private final int domains;
    private final int engines;
    private final int models;
    private final int adapters;
    private final LoadPermitLimits weightStore;

    Site(int domains, int engines, int models, int adapters, LoadPermitLimits weightStore) {
        this.domains = domains;
        this.engines = engines;
        this.models = models;
        this.adapters = adapters;
        this.weightStore = weightStore;
    }

    /**
     * Returns the header of a trace of this deployment.
     *
     * @param timeFactor recorded seconds for each replayed second
     * @return the header
     */
    public Deployment deployment(int timeFactor) {
        return new Deployment(
                name().toLowerCase(Locale.ROOT).replace('_', '-'),
                timeFactor,
                ENTRIES,
                IntStream.range(0, engines)
                        .mapToObj(number -> new Deployment.Engine(
                                new UpstreamId("engine-" + number),
                                new FailureDomain("domain-" + number % domains),
                                ENGINE_MEGABYTES,
                                SLOTS))
                        .toList(),
                IntStream.range(0, models)
                        .mapToObj(number ->
                                new Model(new ModelName("model-" + number), "1", 8_000 + number % 4 * 2_000L, 1))
                        .toList(),
                IntStream.range(0, adapters)
                        .mapToObj(number -> new Adapter(
                                new AdapterName("adapter-" + number),
                                new ModelName("model-" + number % models),
                                "1",
                                200))
                        .toList(),
                IntStream.range(0, TEAM_SHARES.size()).mapToObj(this::team).toList(),
                weightStore);
    }

    private Team team(int number) {
        int share = TEAM_SHARES.get(number);
        long rate = (long) TOKENS_PER_ENGINE * engines * share / 100;
        return new Team(new TeamName("team-" + number), rate, rate * BURST_SECONDS, share);
    }
}
