package io.oleandermoor.state.rate;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against floors that are spent twice around the end of their contribution to a pool. Entries stop sending
 * requests to the pool, one of them takes all tokens of the pool before or after that, and later all entries spend all
 * tokens that they can at the same time.
 */
class FloorPoolPropertyTest {

    private static final TeamName TEAM = new TeamName("press");
    private static final RateLimit LIMIT = new RateLimit(10_000, 20_000);
    private static final int ENTRIES = 4;
    private static final RateSettings SETTINGS = RateSettings.defaults(ENTRIES);
    private static final long TOTAL_FLOOR_BURST = LIMIT.burst() * 5 / 100;
    /** Less than the total floor burst, because the pool counts the last tokens of the other entries as outstanding. */
    private static final long HELD_TOKENS = TOTAL_FLOOR_BURST * 9 / 10;

    private static final long STOP_MILLIS = 12_000;

    private final List<RateClient> entries = new ArrayList<>();
    private long[] clockPerMille = {};
    private RateOwner pool = pool(1);
    private long takerIncarnation;

    @Property(tries = 4_000, seed = "20261210", shrinking = ShrinkingMode.OFF)
    void spendingFromFloorsAndPoolStaysWithinTheTotalFloorBurst(
            @ForAll @IntRange(max = 31) int fastClocks,
            @ForAll @IntRange(max = 4_500) int takeDelay,
            @ForAll @IntRange(min = 1, max = 395) int responseDelay,
            @ForAll @IntRange(max = 6_000) int wakeDelay,
            @ForAll boolean spendAtOnce,
            @ForAll boolean settleUnused) {
        start(fastClocks);
        run(pool, 0, STOP_MILLIS, 0, ENTRIES);
        long taken = STOP_MILLIS + takeDelay;
        long accepted = taken + responseDelay;
        long wake = accepted + (spendAtOnce ? 0 : wakeDelay);
        RateClient holder = entries.get(0);
        holder.reserve(TEAM, HELD_TOKENS, entryTime(0, taken));
        Optional<RateResponse> response =
                holder.nextRequest(entryTime(0, taken)).flatMap(request -> pool.handle(request, poolTime(taken)));
        response.ifPresent(value -> holder.accept(value, entryTime(0, accepted)));
        if (settleUnused
                && holder.reserve(TEAM, HELD_TOKENS, entryTime(0, accepted)) instanceof RateDecision.Granted grant) {
            holder.settle(grant.reservation(), 0);
        }
        long spent = takeAll(pool, wake);
        for (int index = 0; index < ENTRIES; index++) {
            spent += spendAll(index, wake);
        }
        assertThat(spent).isLessThanOrEqualTo(TOTAL_FLOOR_BURST);
    }

    @Property(tries = 500, seed = "20261212", shrinking = ShrinkingMode.OFF)
    void entriesThatMoveToAnotherPoolStayWithinTheTotalFloorBurst(
            @ForAll @IntRange(max = 31) int fastClocks,
            @ForAll @IntRange(max = ENTRIES) int moved,
            @ForAll @IntRange(max = 9_000) int wakeDelay) {
        start(fastClocks);
        run(pool, 0, STOP_MILLIS, 0, ENTRIES);
        RateOwner other = pool(2);
        long wake = STOP_MILLIS + wakeDelay;
        run(other, STOP_MILLIS, wake, 0, moved);
        run(pool, STOP_MILLIS, wake, moved, ENTRIES);
        long spent = takeAll(pool, wake) + takeAll(other, wake);
        for (int index = 0; index < ENTRIES; index++) {
            spent += spendAll(index, wake);
        }
        assertThat(spent).isLessThanOrEqualTo(TOTAL_FLOOR_BURST);
    }

    /**
     * A process that has contributed its floor ends, and the next process on its instance immediately sends requests to
     * the owner.
     */
    @Property(tries = 50, seed = "20261213", shrinking = ShrinkingMode.OFF)
    void restartedEntryDoesNotReuseTheFloorThatItContributedBefore(
            @ForAll @IntRange(max = 31) int fastClocks, @ForAll @IntRange(min = 500, max = 8_000) int spendMillis) {
        start(fastClocks);
        RateOwner owner = new RateOwner(SETTINGS, 2, Long.MAX_VALUE / 2);
        owner.configure(Map.of(TEAM, LIMIT), 0);
        long restart = 2 * STOP_MILLIS;
        registrations(owner, 0, 0);
        run(pool, 0, restart, 0, ENTRIES - 1);
        for (long millis = 0; millis < restart; millis += 2_000) {
            registrations(owner, 0, millis);
            run(owner, millis, millis + 2_000, ENTRIES - 1, ENTRIES);
        }
        entries.set(0, client(0, 2, entryTime(0, restart)));
        long spent = 0;
        for (long millis = restart; millis < restart + spendMillis; millis += 50) {
            boolean registered = entryTime(0, millis) - entryTime(0, restart) >= SETTINGS.registrationDelayMillis();
            registrations(owner, registered ? 1 : 0, millis);
            run(owner, millis, millis + 50, 0, 1);
            run(owner, millis, millis + 50, ENTRIES - 1, ENTRIES);
            run(pool, millis, millis + 50, 1, ENTRIES - 1);
            spent += takeAll(owner, millis) + takeAll(pool, millis);
        }
        assertThat(spent).isLessThanOrEqualTo(LIMIT.burst() + LIMIT.rate() * spendMillis / 1_000);
    }

    /** Guards against properties that hold only because the entries never contribute their floors. */
    @Property(tries = 32, seed = "20261211", shrinking = ShrinkingMode.OFF)
    void allFloorsAreContributedToThePool(@ForAll @IntRange(max = 31) int fastClocks) {
        start(fastClocks);
        run(pool, 0, STOP_MILLIS, 0, ENTRIES);
        assertThat(takeAll(pool, STOP_MILLIS)).isBetween(TOTAL_FLOOR_BURST - ENTRIES, TOTAL_FLOOR_BURST);
    }

    /** Creates clients whose clocks run 1% fast or slow, and an owner whose lease has expired. */
    private void start(int fastClocks) {
        clockPerMille = IntStream.rangeClosed(0, ENTRIES)
                .mapToLong(index -> (fastClocks >> index & 1) == 1 ? 1_010 : 990)
                .toArray();
        pool = pool(1);
        entries.clear();
        for (int index = 0; index < ENTRIES; index++) {
            entries.add(client(index, 1, 0));
            entries.get(index).registered(0);
        }
    }

    private static RateOwner pool(long term) {
        RateOwner expired = new RateOwner(SETTINGS, term, 0);
        expired.configure(Map.of(TEAM, LIMIT), 0);
        return expired;
    }

    private static RateClientId id(int index, long incarnation) {
        return new RateClientId(new InstanceId("entry-" + index), incarnation);
    }

    private static RateClient client(int index, long incarnation, long nowMillis) {
        RateClient client = new RateClient(SETTINGS, id(index, incarnation), nowMillis);
        client.configure(Map.of(TEAM, LIMIT), nowMillis);
        return client;
    }

    /** Passes the registrations of all entries to the owner; the first entries have been restarted. */
    private void registrations(RateOwner owner, int restarted, long millis) {
        Set<RateClientId> known = IntStream.range(0, ENTRIES)
                .mapToObj(index -> id(index, index < restarted ? 2 : 1))
                .collect(Collectors.toSet());
        owner.updateRegistrations(known, poolTime(millis), poolTime(millis));
    }

    /** Exchanges messages between some entries and an owner or pool; each entry has a waiting request of one token. */
    private void run(RateOwner owner, long fromMillis, long untilMillis, int first, int end) {
        for (long millis = fromMillis; millis < untilMillis; millis += 50) {
            for (int index = first; index < end; index++) {
                RateClient client = entries.get(index);
                long sent = entryTime(index, millis);
                long received = poolTime(millis);
                client.reserve(TEAM, 1, sent);
                client.nextRequest(sent)
                        .flatMap(request -> owner.handle(request, received))
                        .ifPresent(response -> client.accept(response, sent));
            }
        }
    }

    private long entryTime(int index, long millis) {
        return millis * clockPerMille[index] / 1_000;
    }

    private long poolTime(long millis) {
        return millis * clockPerMille[ENTRIES] / 1_000;
    }

    private long spendAll(int index, long millis) {
        long spent = 0;
        for (long size = 512; size > 0; size /= 2) {
            while (entries.get(index).reserve(TEAM, size, entryTime(index, millis)) instanceof RateDecision.Granted) {
                spent += size;
            }
        }
        return spent;
    }

    /** Returns all tokens granted at this time to entries that contribute no floor and report the tokens as spent. */
    private long takeAll(RateOwner owner, long millis) {
        long taken = 0;
        for (long size = 8_192; size > 0; size /= 2) {
            long granted = size;
            while (granted == size && taken <= 2 * LIMIT.burst()) {
                RateClientId id = new RateClientId(new InstanceId("taker"), ++takerIncarnation);
                TeamDemand demand = new TeamDemand(TEAM, 0, 0, 0, 0, size, size, size);
                RateResponse response = owner.handle(new RateRequest(id, 1, 0, 0, List.of(demand)), poolTime(millis))
                        .orElseThrow();
                granted = response.grants().get(0).tokens();
                taken += granted;
                TeamDemand spent = new TeamDemand(TEAM, 0, 0, 0, 0, 0, 0, 0);
                owner.handle(new RateRequest(id, 2, owner.term(), 1, List.of(spent)), poolTime(millis));
            }
        }
        return taken;
    }
}
