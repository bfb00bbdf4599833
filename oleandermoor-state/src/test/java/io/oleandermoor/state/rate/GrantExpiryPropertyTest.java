package io.oleandermoor.state.rate;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.InstanceId;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against tokens that are spent twice around the end of a session or lease. One entry obtains a large grant,
 * pauses, and later spends all tokens that it still considers valid; at the same time another entry takes all tokens
 * that an owner grants.
 */
class GrantExpiryPropertyTest {

    private static final TeamName TEAM = new TeamName("press");
    private static final RateLimit LIMIT = new RateLimit(10_000, 20_000);
    private static final RateSettings SETTINGS =
            new RateSettings(RatePolicy.OWNER_GRANTS, 2, 30_000, 700, 40_000, 0, 0, 50);
    private static final long BUCKET_FULL_MILLIS = 5_000;

    private long ownerClockPerMille;
    private long holderClockPerMille;

    @Property(tries = 1_000, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void grantIsNotSpentTwiceAroundItsExpiry(
            @ForAll @IntRange(min = 990, max = 1_010) int ownerRate,
            @ForAll @IntRange(min = 990, max = 1_010) int holderRate,
            @ForAll @IntRange(max = 300) int requestDelayMillis,
            @ForAll @IntRange(min = -800, max = 800) int wakeOffsetMillis) {
        ownerClockPerMille = ownerRate;
        holderClockPerMille = holderRate;
        RateOwner owner = owner(1, 0, 200_000);
        RateClient holder = holderOfGrant(owner, BUCKET_FULL_MILLIS, requestDelayMillis, 18_000);
        long wakeMillis = BUCKET_FULL_MILLIS + SETTINGS.validMillis() * 1_000 / holderClockPerMille + wakeOffsetMillis;
        owner.updateRegistrations(Set.of(), ownerTime(wakeMillis), ownerTime(wakeMillis));
        assertThat(spendAll(holder, wakeMillis) + takeAll(owner, wakeMillis)).isLessThanOrEqualTo(LIMIT.burst());
    }

    @Property(tries = 1_000, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void grantOfAnOwnerIsNotSpentUnderItsSuccessor(
            @ForAll @IntRange(min = 990, max = 1_010) int ownerRate,
            @ForAll @IntRange(min = 990, max = 1_010) int holderRate,
            @ForAll @IntRange(max = 35_000) int grantMillis,
            @ForAll @IntRange(max = 800) int wakeOffsetMillis) {
        ownerClockPerMille = ownerRate;
        holderClockPerMille = holderRate;
        long leaseEnd = BUCKET_FULL_MILLIS + SETTINGS.leaseMillis();
        // The owner knows the end of its lease exactly, so only the margin of the grant protects the successor.
        RateOwner first = owner(1, 0, ownerTime(leaseEnd));
        RateClient holder = holderOfGrant(first, BUCKET_FULL_MILLIS + grantMillis, 0, 18_000);
        RateOwner second = owner(2, leaseEnd, ownerTime(leaseEnd) + 40_000);
        long wakeMillis = leaseEnd + wakeOffsetMillis;
        assertThat(spendAll(holder, wakeMillis) + takeAll(second, wakeMillis)).isLessThanOrEqualTo(LIMIT.burst());
    }

    private RateOwner owner(long term, long startMillis, long leaseUntilMillis) {
        RateOwner owner = new RateOwner(SETTINGS, term, leaseUntilMillis);
        owner.updateRegistrations(Set.of(), ownerTime(startMillis), ownerTime(startMillis));
        owner.configure(Map.of(TEAM, LIMIT), ownerTime(startMillis));
        return owner;
    }

    private long ownerTime(long millis) {
        return millis * ownerClockPerMille / 1_000;
    }

    private long holderTime(long millis) {
        return millis * holderClockPerMille / 1_000;
    }

    private RateClient holderOfGrant(RateOwner owner, long millis, long requestDelayMillis, long tokens) {
        RateClient client = client(1, holderTime(millis));
        assertThat(client.reserve(TEAM, tokens, holderTime(millis))).isInstanceOf(RateDecision.AskOwner.class);
        RateRequest request = client.nextRequest(holderTime(millis)).orElseThrow();
        long received = millis + requestDelayMillis;
        owner.updateRegistrations(Set.of(), ownerTime(received), ownerTime(received));
        Optional<RateResponse> response = owner.handle(request, ownerTime(received));
        client.accept(response.orElseThrow(), holderTime(received));
        return client;
    }

    private static RateClient client(long incarnation, long nowMillis) {
        RateClientId id = new RateClientId(new InstanceId("entry-" + incarnation), incarnation);
        RateClient client = new RateClient(SETTINGS, id, nowMillis);
        client.configure(Map.of(TEAM, LIMIT), nowMillis);
        return client;
    }

    private long spendAll(RateClient client, long millis) {
        long spent = 0;
        for (long size : List.of(18_000L, 1_000L, 100L)) {
            while (client.reserve(TEAM, size, holderTime(millis)) instanceof RateDecision.Granted) {
                spent += size;
            }
        }
        return spent;
    }

    /**
     * Returns all tokens that the owner grants at this time. The requests are small, so no tokens are set aside by
     * claims.
     */
    private long takeAll(RateOwner owner, long millis) {
        RateClientId id = new RateClientId(new InstanceId("taker"), 1);
        TeamDemand demand = new TeamDemand(TEAM, 0, 0, 0, 0, 100, 100, 100);
        long taken = 0;
        for (long sequence = 1; taken <= 2 * LIMIT.burst(); sequence++) {
            RateRequest request = new RateRequest(id, sequence, owner.term(), sequence - 1, List.of(demand));
            RateResponse response = owner.handle(request, ownerTime(millis)).orElseThrow();
            long granted = response.grants().get(0).tokens();
            if (granted == 0) {
                break;
            }
            taken += granted;
        }
        return taken;
    }
}
