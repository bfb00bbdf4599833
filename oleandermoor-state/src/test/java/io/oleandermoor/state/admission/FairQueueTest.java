package io.oleandermoor.state.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.state.admission.QueueSimulation.TeamLoad;
import io.oleandermoor.state.identity.TeamName;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private static final long RUN_MILLIS = 120_000;

    private final FairQueue<Long> queue = new FairQueue<>(QueueSimulation.settings(AdmissionPolicy.WEIGHTED, 10));
    private long nextKey;

    private AdmissionDecision offer(String team, RequestClass requestClass, long tokens, long remaining, long now) {
        return queue.offer(
                new WaitingRequest<>(
                        nextKey++, new TeamName(team), 1, requestClass, tokens, Deadline.after(now, remaining)),
                now);
    }

    private String pollTeam(long now) {
        WaitingRequest<Long> request = queue.poll(now).orElseThrow();
        queue.finished(request.key(), request.tokens(), now + request.tokens());
        return request.team().value();
    }

    @Nested
    class Fairness {

        private long[] served(AdmissionPolicy policy, long seed, long greedyDemand) {
            QueueSimulation simulation = new QueueSimulation(QueueSimulation.settings(policy, 10), seed)
                    .run(
                            RUN_MILLIS,
                            new TeamLoad("greedy", 1, RequestClass.LIVE, greedyDemand),
                            new TeamLoad("one", 1, RequestClass.LIVE, 700),
                            new TeamLoad("two", 1, RequestClass.LIVE, 700));
            return new long[] {
                simulation.served("one"), simulation.served("two"), simulation.waitAtP95("one"),
            };
        }

        /** Guards against a team above its share that reduces the service of teams within their share. */
        @Test
        void otherTeamsKeepTheirThroughputWhenOneSendsEightTimesItsShare() {
            for (long seed = 1; seed <= 10; seed++) {
                long[] quiet = served(AdmissionPolicy.WEIGHTED, seed, 0);
                long[] flooded = served(AdmissionPolicy.WEIGHTED, seed, 16_000);
                double worst = Math.min((double) flooded[0] / quiet[0], (double) flooded[1] / quiet[1]);
                long[] baseline = served(AdmissionPolicy.FIRST_COME, seed, 16_000);
                double worstFirstCome = Math.min((double) baseline[0] / quiet[0], (double) baseline[1] / quiet[1]);
                System.out.printf(
                        "worst-served ratio seed=%d fair=%.3f firstCome=%.3f waitP95Millis fair=%d firstCome=%d%n",
                        seed, worst, worstFirstCome, flooded[2], baseline[2]);
                assertThat(worst).isGreaterThan(0.97);
                assertThat(worst).isGreaterThan(2 * worstFirstCome);
            }
        }

        /** Guards against credit that a team accumulates while idle and later uses at the expense of other teams. */
        @Test
        void teamGainsNoCreditWhileIdle() {
            LongStream.range(0, 20).forEach(i -> {
                offer("busy", RequestClass.LIVE, 10, 10_000, 0);
                pollTeam(0);
            });
            LongStream.range(0, 10).forEach(i -> offer("busy", RequestClass.LIVE, 10, 10_000, 0));
            LongStream.range(0, 10).forEach(i -> offer("late", RequestClass.LIVE, 10, 10_000, 0));
            long late = LongStream.range(0, 10)
                    .filter(i -> pollTeam(0).equals("late"))
                    .count();
            assertThat(late).isBetween(4L, 6L);
        }

        /** Guards against a permanent charge for reserved tokens that a request did not use. */
        @Test
        void chargeIsCorrectedToTheTokensUsedWhenARequestFinishes() {
            LongStream.range(0, 3).forEach(i -> {
                offer("reserves-much", RequestClass.LIVE, 1_000, 100_000, 0);
                offer("exact", RequestClass.LIVE, 100, 100_000, 0);
            });
            WaitingRequest<Long> first = queue.poll(0).orElseThrow();
            WaitingRequest<Long> second = queue.poll(0).orElseThrow();
            assertThat(first.team()).isNotEqualTo(second.team());
            queue.finished(first.key(), first.tokens() == 1_000 ? 10 : 100, 10);
            queue.finished(second.key(), second.tokens() == 1_000 ? 10 : 100, 10);
            assertThat(pollTeam(20)).isEqualTo("reserves-much");
        }
    }

    @Nested
    class BatchWork {

        /** Guards against starvation of batch work while live work fills the upstream. */
        @Test
        void receivesItsShareUnderLiveOverload() {
            QueueSimulation simulation = new QueueSimulation(QueueSimulation.settings(AdmissionPolicy.WEIGHTED, 10), 7)
                    .run(
                            RUN_MILLIS,
                            new TeamLoad("live", 1, RequestClass.LIVE, 12_000),
                            new TeamLoad("night", 1, RequestClass.BATCH, 4_000));
            double share =
                    (double) simulation.served("night") / (simulation.served("night") + simulation.served("live"));
            assertThat(share).isBetween(0.08, 0.12);
        }

        /** Guards against batch work that is served before live work without credit. */
        @Test
        void runsAfterLiveWorkWithoutCredit() {
            offer("night", RequestClass.BATCH, 10, 10_000, 0);
            offer("day", RequestClass.LIVE, 10, 10_000, 0);
            assertThat(pollTeam(0)).isEqualTo("day");
        }
    }

    @Nested
    class AdmissionLimits {

        private void fillSlots() {
            LongStream.range(0, 4).forEach(i -> {
                offer("busy", RequestClass.LIVE, 100, 10_000, 0);
                assertThat(queue.poll(0)).isPresent();
            });
        }

        /**
         * Guards against accepting a request that cannot start before its deadline, and against a wrong Retry-After.
         */
        @Test
        void refusesRequestThatWouldMissItsDeadlineAndAcceptsItAfterRetryAfter() {
            offer("busy", RequestClass.LIVE, 100, 10_000, 0);
            queue.finished(queue.poll(0).orElseThrow().key(), 100, 400);
            fillSlots();
            LongStream.range(0, 8).forEach(i -> offer("busy", RequestClass.LIVE, 100, 10_000, 0));
            AdmissionDecision decision = offer("busy", RequestClass.LIVE, 100, 500, 0);
            assertThat(decision).isInstanceOf(AdmissionDecision.Refused.class);
            long retryAfter = ((AdmissionDecision.Refused) decision).retryAfterMillis();
            for (long now = 0; now <= retryAfter; now += 100) {
                long time = now;
                // Each slot serves 100 tokens in 400 ms; one becomes free every 100 ms.
                if (now > 0) {
                    queue.finished(now / 100, 100, time);
                    queue.poll(time);
                }
            }
            assertThat(offer("busy", RequestClass.LIVE, 100, 500, retryAfter))
                    .isInstanceOf(AdmissionDecision.Queued.class);
        }

        /** Guards against a queue that exceeds the configured wait limit because requests have late deadlines. */
        @Test
        void refusesRequestsWhoseExpectedWaitExceedsTheLimit() {
            FairQueue<Long> limited =
                    new FairQueue<>(new QueueSettings(AdmissionPolicy.WEIGHTED, 1, 1_000, 1, 1, 10, 300));
            TeamName team = new TeamName("one");
            List<AdmissionDecision> decisions = LongStream.range(0, 10)
                    .mapToObj(key -> {
                        AdmissionDecision decision = limited.offer(
                                new WaitingRequest<>(
                                        key, team, 1, RequestClass.LIVE, 100, Deadline.after(0, 3_600_000)),
                                0);
                        if (key == 0) {
                            limited.poll(0);
                            limited.finished(0L, 100, 100);
                        } else if (key == 1) {
                            limited.poll(0);
                        }
                        return decision;
                    })
                    .toList();
            // A request takes 100 ms, and a slot becomes free after up to 100 ms, so three can wait at most 300 ms.
            assertThat(decisions.subList(0, 5)).allMatch(AdmissionDecision.Queued.class::isInstance);
            assertThat(decisions.subList(5, 10))
                    .containsOnly(new AdmissionDecision.Refused(100, AdmissionDecision.Reason.WAIT_LIMIT));
        }

        /** Guards against one team that fills the queue so that requests of other teams are refused. */
        @Test
        void oneTeamCannotFillTheQueue() {
            fillSlots();
            long queued = LongStream.range(0, 500)
                    .filter(i -> offer("busy", RequestClass.LIVE, 1, 10_000, 0) instanceof AdmissionDecision.Queued)
                    .count();
            assertThat(queued).isBetween(100L, 140L);
            assertThat(offer("other", RequestClass.LIVE, 1, 10_000, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        }

        /** Guards against state that is kept for cancelled and expired requests and idle teams. */
        @Test
        void keepsNoStateForCancelledExpiredAndIdleWork() {
            for (int i = 0; i < 100; i++) {
                offer("team-" + i, RequestClass.LIVE, 10, 50, 0);
            }
            assertThat(queue.cancel(3L)).isPresent();
            assertThat(queue.cancel(3L)).isEmpty();
            assertThat(queue.expire(49)).isEmpty();
            assertThat(queue.expire(50)).hasSize(99);
            assertThat(queue.waitingCount()).isZero();
            assertThat(queue.teamCount()).isZero();
        }

        /**
         * Guards against running more requests than the upstream has slots, and against two requests with the same key.
         */
        @Test
        void runsNoMoreRequestsThanSlotsAndRejectsDuplicateKeys() {
            fillSlots();
            offer("busy", RequestClass.LIVE, 1, 10_000, 0);
            assertThat(queue.poll(0)).isEmpty();
            nextKey = 0;
            assertThatThrownBy(() -> offer("busy", RequestClass.LIVE, 1, 10_000, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("key");
        }
    }

    @Nested
    class Reconfiguration {

        /** Guards against a policy change that loses, repeats or reorders waiting requests. */
        @Test
        void keepsWaitingRequestsAndOrdersThemByTheNewPolicy() {
            for (long i = 0; i < 12; i++) {
                offer("early", RequestClass.BATCH, 10, 10_000, 0);
            }
            offer("late", RequestClass.LIVE, 10, 10_000, 0);
            queue.configure(QueueSimulation.settings(AdmissionPolicy.FIRST_COME, 10), (team, weight) -> weight);
            assertThat(pollKeys(2)).containsExactly(0L, 1L);
            queue.configure(QueueSimulation.settings(AdmissionPolicy.WEIGHTED, 0), (team, weight) -> weight);
            assertThat(pollKeys(11)).containsExactly(12L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L, 11L);
            assertThat(queue.waitingCount() + queue.runningCount()).isZero();
            assertThat(queue.expire(20_000)).isEmpty();
        }

        /**
         * Guards against correcting charges of an earlier policy, which would give a team credit under the next one.
         */
        @Test
        void doesNotCorrectChargesMadeUnderAnEarlierPolicy() {
            offer("one", RequestClass.LIVE, 1_000, 10_000, 0);
            WaitingRequest<Long> running = queue.poll(0).orElseThrow();
            for (int i = 0; i < 4; i++) {
                offer("one", RequestClass.LIVE, 10, 10_000, 0);
                offer("two", RequestClass.LIVE, 10, 10_000, 0);
            }
            queue.configure(QueueSimulation.settings(AdmissionPolicy.FIRST_COME, 10), (team, weight) -> weight);
            queue.configure(QueueSimulation.settings(AdmissionPolicy.WEIGHTED, 10), (team, weight) -> weight);
            queue.finished(running.key(), 10, 10);
            assertThat(List.of(pollTeam(10), pollTeam(20), pollTeam(30), pollTeam(40)))
                    .containsExactly("one", "two", "one", "two");
        }

        /** Guards against a changed weight that takes effect only after the queue is empty. */
        @Test
        void appliesChangedWeightsToWaitingRequests() {
            for (int i = 0; i < 40; i++) {
                offer("one", RequestClass.LIVE, 10, 10_000, 0);
                offer("two", RequestClass.LIVE, 10, 10_000, 0);
            }
            queue.configure(
                    QueueSimulation.settings(AdmissionPolicy.WEIGHTED, 10),
                    (team, weight) -> team.value().equals("two") ? 3 : weight);
            long served = LongStream.range(0, 40)
                    .filter(i -> pollTeam(i).equals("two"))
                    .count();
            assertThat(served).isBetween(29L, 31L);
        }

        private List<Long> pollKeys(int count) {
            return LongStream.range(0, count)
                    .map(i -> {
                        WaitingRequest<Long> request = queue.poll(i).orElseThrow();
                        queue.finished(request.key(), request.tokens(), i);
                        return request.key();
                    })
                    .boxed()
                    .toList();
        }
    }

    @Nested
    class Retrying {

        /** Guards against retries that multiply the load of a failing upstream. */
        @Test
        void isLimitedToAFractionOfSuccesses() {
            RetryBudget budget = new RetryBudget(20, 1, 3);
            assertThat(budget.tryRetry()).isTrue();
            assertThat(budget.tryRetry()).isFalse();
            LongStream.range(0, 5).forEach(i -> budget.recordSuccess());
            assertThat(budget.tryRetry()).isTrue();
            assertThat(budget.tryRetry()).isFalse();
            LongStream.range(0, 1_000).forEach(i -> budget.recordSuccess());
            assertThat(LongStream.range(0, 10).filter(i -> budget.tryRetry()).count())
                    .isEqualTo(3);
        }
    }
}
