package io.oleandermoor.state.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharedTokenBucketTest {

    private static final double RATE = 1_000;
    private static final double BURST = 1_000;

    private static SharedTokenBucket bucket() {
        return new SharedTokenBucket(RATE, BURST, 0);
    }

    @Nested
    class SingleEntry {

        /** Guards against granting the burst twice after all entries were killed and restarted. */
        @Test
        void startsEmptyAndRefillsAtTheRate() {
            SharedTokenBucket bucket = bucket();
            assertThat(bucket.tryConsume(1, 0)).isFalse();
            bucket.refill(500, List.of(), 1);
            assertThat(bucket.level()).isEqualTo(500);
            bucket.refill(60_000, List.of(), 1);
            assertThat(bucket.level()).isEqualTo(BURST);
        }

        /** Guards against refusals after all entries were down, although tokens accrued during the downtime. */
        @Test
        void refillsForDowntimeUpToTheBurst() {
            SharedTokenBucket bucket = bucket();
            bucket.refillForDowntime(400);
            assertThat(bucket.level()).isEqualTo(400);
            bucket.refillForDowntime(60_000);
            assertThat(bucket.level()).isEqualTo(BURST);
        }

        @Test
        void refundsTokensOfRequestsThatDidNotRun() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, List.of(), 1);
            assertThat(bucket.tryConsume(700, 0)).isTrue();
            bucket.refund(700);
            assertThat(bucket.level()).isEqualTo(BURST);
            assertThat(bucket.grantedTokens()).isZero();
        }

        @Test
        void lowerBurstTakesEffectImmediately() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, List.of(), 1);
            bucket.configure(100, 50);
            assertThat(bucket.level()).isEqualTo(50);
        }
    }

    @Nested
    class WithPeers {

        @Test
        void subtractsTokensGrantedByAPeer() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, List.of(), 2);
            bucket.recordPeerGrants("b", 300, true, false);
            bucket.recordPeerGrants("b", 450, false, false);
            assertThat(bucket.level()).isEqualTo(550);
        }

        /** Guards against a restarted entry that subtracts all tokens that its peers granted before it started. */
        @Test
        void ignoresEarlierGrantsOfAPeerThatStartedEarlier() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, List.of(), 2);
            bucket.recordPeerGrants("b", 1_000_000, true, true);
            assertThat(bucket.level()).isEqualTo(BURST);
        }

        /**
         * Guards against subtracting all grants of a peer again after its registration ended while it still reported.
         */
        @Test
        void subtractsOnlyNewGrantsOfAFormerMember() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, List.of(), 2);
            bucket.recordPeerGrants("b", 400, true, false);
            bucket.retainMembers(Set.of());
            bucket.recordPeerGrants("b", 450, false, false);
            assertThat(bucket.level()).isEqualTo(BURST - 450);
        }

        @Test
        void countsARestartedPeerFromZero() {
            SharedTokenBucket bucket = bucket();
            bucket.recordPeerGrants("b", 5_000, true, true);
            bucket.refill(1_000, List.of(), 2);
            bucket.recordPeerGrants("b", 200, true, false);
            assertThat(bucket.level()).isEqualTo(800);
        }

        @Test
        void reservesTheShareOfASilentPeer() {
            SharedTokenBucket bucket = bucket();
            bucket.refill(1_000, Set.of("b"), 2);
            assertThat(bucket.level()).isEqualTo(500);
        }

        @Test
        void subtractsOnlyGrantsAboveTheReservedTokens() {
            SharedTokenBucket bucket = bucket();
            bucket.recordPeerGrants("b", 0, true, false);
            bucket.refill(1_000, Set.of("b"), 2);
            bucket.recordPeerGrants("b", 600, false, false);
            assertThat(bucket.level()).isEqualTo(400);
        }
    }

    /** Guards against two partitioned entries that each grant the whole rate. */
    @Property(tries = 50)
    void partitionedEntriesStayWithinTheRateAndTwoBursts(
            @ForAll @IntRange(min = 1, max = 400) int request,
            @ForAll @IntRange(min = 0, max = 3_000) int partitionMillis) {
        SharedTokenBucket left = bucket();
        SharedTokenBucket right = bucket();
        long granted = 0;
        int seconds = 8;
        for (int now = 10; now <= seconds * 1_000; now += 10) {
            boolean partitioned = now >= partitionMillis;
            left.refill(now, partitioned ? Set.of("right") : Set.of(), 2);
            right.refill(now, partitioned ? Set.of("left") : Set.of(), 2);
            granted += left.tryConsume(request, 0) ? request : 0;
            if (!partitioned) {
                right.recordPeerGrants("left", left.grantedTokens(), false, false);
            }
            granted += right.tryConsume(request, 0) ? request : 0;
            if (!partitioned) {
                left.recordPeerGrants("right", right.grantedTokens(), false, false);
            }
        }
        assertThat(granted).isLessThanOrEqualTo((long) (RATE * seconds + 2 * BURST));
    }
}
