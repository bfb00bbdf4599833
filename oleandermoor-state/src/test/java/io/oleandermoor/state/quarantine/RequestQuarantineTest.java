package io.oleandermoor.state.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.quarantine.RequestQuarantine.Quarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which traits are quarantined, from reports and answers in a given order. */
class RequestQuarantineTest {

    private static final long SECOND = 1_000;

    private final RequestQuarantine quarantine = new RequestQuarantine();

    private int nextBody;

    private RequestTraits traits(String... parts) {
        String body = "body " + nextBody++;
        return new RequestTraits(List.of(parts), () -> body);
    }

    private CrashReport crash(int run, String request, String... parts) {
        return crash(run, request, traits(parts));
    }

    private static CrashReport crash(int run, String request, RequestTraits traits) {
        return new CrashReport("i-" + run, run, List.of(new CrashReport.Suspect(request, traits.all(), 0)));
    }

    private boolean isRefused(long now, String... parts) {
        return quarantine.find(traits(parts), now).isPresent();
    }

    @Nested
    class RecordCrash {

        @Test
        void quarantinesThePartThatTwoRequestsShare() {
            quarantine.recordCrash(crash(1, "r1", "a", "bad", "x"), 0);
            assertThat(isRefused(1, "bad")).isFalse();
            List<Quarantine> begun = quarantine.recordCrash(crash(2, "r2", "b", "bad", "y"), SECOND);
            assertThat(begun).extracting(Quarantine::trait).containsExactly("part:bad");
            assertThat(isRefused(SECOND, "c", "bad")).isTrue();
            assertThat(isRefused(SECOND, "a", "x")).isFalse();
        }

        @Test
        void quarantinesARequestThatIsRepeated() {
            RequestTraits repeated = new RequestTraits(List.of(), () -> "same");
            quarantine.recordCrash(crash(1, "r1", repeated), 0);
            quarantine.recordCrash(crash(2, "r2", repeated), SECOND);
            assertThat(quarantine.find(new RequestTraits(List.of(), () -> "same"), SECOND))
                    .isPresent();
            assertThat(quarantine.find(new RequestTraits(List.of(), () -> "other"), SECOND))
                    .isEmpty();
        }

        @Test
        void doesNotQuarantineTheOtherPartsOfOneRequestThatIsSentAgain() {
            quarantine.recordCrash(crash(1, "r1", "a", "bad"), 0);
            assertThat(quarantine.recordCrash(crash(2, "r1", "a", "bad"), SECOND))
                    .isEmpty();
        }

        /** Guards against refusing sound requests that share another part with all the requests that end instances. */
        @Test
        void refusesOnlyRequestsWithAllPartsThatMayBeTheCause() {
            quarantine.recordCrash(crash(1, "r1", "a", "subject", "bad"), 0);
            quarantine.recordAnswer(traits("a"), 1);
            quarantine.recordCrash(crash(2, "r2", "a", "subject", "bad"), SECOND);
            assertThat(isRefused(SECOND, "a", "subject", "bad")).isTrue();
            assertThat(isRefused(SECOND, "a", "subject")).isFalse();
            quarantine.recordAnswer(traits("a", "subject"), 2 * SECOND);
            assertThat(isRefused(2 * SECOND, "b", "bad")).isTrue();
        }

        @Test
        void refusesAllRequestsWithThePartThatWasPresentAtMoreCrashes() {
            quarantine.recordCrash(crash(1, "r1", "subject", "bad"), 0);
            quarantine.recordCrash(crash(2, "r2", "subject", "bad"), SECOND);
            quarantine.recordCrash(crash(3, "r3", "other", "bad"), 2 * SECOND);
            assertThat(isRefused(2 * SECOND, "another", "bad")).isTrue();
            assertThat(isRefused(2 * SECOND, "subject")).isFalse();
        }

        @Test
        void ignoresRepeatedReports() {
            quarantine.recordCrash(crash(1, "r1", "a"), 0);
            assertThat(quarantine.recordCrash(crash(1, "r1", "a"), SECOND)).isEmpty();
            quarantine.disprove(List.of("part:a"));
            quarantine.recordCrash(crash(1, "r1", "a"), 3 * SECOND);
            assertThat(quarantine.recordCrash(crash(2, "r2", "a"), 4 * SECOND)).isEmpty();
        }

        /** Guards against quarantining what many requests share because a failure domain is lost. */
        @Test
        void countsInstancesThatEndTogetherOnce() {
            for (int run = 0; run < 20; run++) {
                assertThat(quarantine.recordCrash(crash(run, "r" + run, "a"), run * 5L))
                        .isEmpty();
            }
        }
    }

    @Nested
    class RecordCrashes {

        private static final long ANSWERING_MILLIS = 250;

        private CrashReport crashOf(int run, String request, RequestTraits traits) {
            return new CrashReport(
                    "i-" + run, run, List.of(new CrashReport.Suspect(request, traits.all(), ANSWERING_MILLIS)));
        }

        /** Guards against refusing sound requests because they share a part with one that is sent again and again. */
        @Test
        void aRequestIsAMoreSpecificCauseThanAPart() {
            RequestTraits repeated = new RequestTraits(List.of("a"), () -> "same");
            RequestTraits sound = traits("a");
            quarantine.recordCrashes(List.of(crashOf(1, "r1", repeated), crashOf(1, "s1", sound)), 0);
            quarantine.recordCrashes(List.of(crashOf(2, "s2", traits("a")), crashOf(2, "r1", repeated)), SECOND);
            assertThat(isRefused(SECOND, "a")).isFalse();
            assertThat(quarantine.find(repeated, SECOND)).isPresent();
        }

        /** Guards against refusing sound requests because the report of one entry arrives before that of another. */
        @Test
        void evaluatesReportsOfTheSameCrashTogether() {
            RequestTraits repeated = new RequestTraits(List.of("a"), () -> "same");
            quarantine.recordCrash(crashOf(1, "r1", repeated), 0);
            List<Quarantine> begun = quarantine.recordCrashes(
                    List.of(crashOf(2, "s1", traits("a")), crashOf(2, "r1", repeated)), SECOND);
            assertThat(begun)
                    .singleElement()
                    .satisfies(each -> assertThat(each.companions()).containsExactly("request:same"));
        }

        /** Guards against a part whose requests are still sent because a sound stream moved from crash to crash. */
        @Test
        void aRequestWithoutThePartIsNoMoreSpecificCause() {
            RequestTraits moved = new RequestTraits(List.of("a"), () -> "moved");
            quarantine.recordCrashes(List.of(crashOf(1, "r1", traits("bad")), crashOf(1, "s1", moved)), 0);
            quarantine.recordCrashes(List.of(crashOf(2, "r2", traits("bad")), crashOf(2, "s1", moved)), SECOND);
            assertThat(isRefused(SECOND, "b", "bad")).isTrue();
        }

        @Test
        void explainsOtherCrashesByThePart() {
            quarantine.recordCrash(crashOf(1, "r1", new RequestTraits(List.of("a"), () -> "same")), 0);
            quarantine.recordCrash(crashOf(2, "r2", traits("a")), SECOND);
            assertThat(isRefused(SECOND, "a")).isTrue();
        }
    }

    @Nested
    class RecordProgress {

        private static final long ANSWERING_MILLIS = 400;

        private final RequestTraits repeated = new RequestTraits(List.of("a"), () -> "same");

        private void crashDuringAnswer() {
            quarantine.recordCrash(
                    new CrashReport("i", 1, List.of(new CrashReport.Suspect("r1", repeated.all(), ANSWERING_MILLIS))),
                    0);
        }

        @Test
        void endsTheSuspicionOfAPartWhoseRequestsEndedInstancesMuchEarlier() {
            crashDuringAnswer();
            assertThat(quarantine.recordProgress(traits("a"), 5 * ANSWERING_MILLIS))
                    .containsExactly("part:a");
        }

        /** Guards against clearing a part by the answer that is about to end its instance. */
        @Test
        void isNoProofAtTheTimeAtWhichInstancesEnded() {
            crashDuringAnswer();
            assertThat(quarantine.recordProgress(traits("a"), ANSWERING_MILLIS + 100))
                    .isEmpty();
        }

        /** Guards against clearing a request that ends instances at different times. */
        @Test
        void isNoProofForTheRequestItself() {
            crashDuringAnswer();
            quarantine.recordProgress(repeated, 100 * ANSWERING_MILLIS);
            quarantine.recordCrash(crash(2, "r2", repeated), SECOND);
            assertThat(quarantine.find(repeated, SECOND)).isPresent();
        }
    }

    @Nested
    class RecordAnswer {

        @Test
        void endsSuspicionAndQuarantine() {
            quarantine.recordCrash(crash(1, "r1", "a", "bad"), 0);
            assertThat(quarantine.recordAnswer(traits("a"), 1)).containsExactly("part:a");
            quarantine.recordCrash(crash(2, "r2", "a", "bad"), SECOND);
            quarantine.recordCrash(crash(3, "r3", "a", "bad"), 2 * SECOND);
            assertThat(isRefused(2 * SECOND, "bad")).isTrue();
            quarantine.recordAnswer(traits("bad"), 3 * SECOND);
            assertThat(isRefused(3 * SECOND, "bad")).isFalse();
        }

        @Test
        void requiresMoreCrashesOfAPartThatWasAnsweredRecently() {
            quarantine.recordAnswer(traits("a"), 0);
            quarantine.recordCrash(crash(1, "r1", "a"), SECOND);
            assertThat(quarantine.recordCrash(crash(2, "r2", "a"), 2 * SECOND)).isEmpty();
            assertThat(quarantine.recordCrash(crash(3, "r3", "a"), 3 * SECOND)).hasSize(1);
        }
    }

    @Nested
    class End {

        private static final long AFTER_FIRST_QUARANTINE = 32 * SECOND;

        private void quarantineBad() {
            quarantine.recordCrash(crash(1, "r1", "bad"), 0);
            quarantine.recordCrash(crash(2, "r2", "bad"), SECOND);
        }

        @Test
        void firstQuarantineEndsAndTheNextCrashBeginsALongOne() {
            quarantineBad();
            assertThat(isRefused(AFTER_FIRST_QUARANTINE, "bad")).isFalse();
            assertThat(quarantine.recordCrash(crash(3, "r3", "bad"), AFTER_FIRST_QUARANTINE))
                    .hasSize(1);
            assertThat(isRefused(AFTER_FIRST_QUARANTINE + 500 * SECOND, "bad")).isTrue();
        }

        /** Guards against losing an instance each time a long quarantine ends while the requests go on. */
        @Test
        void requestsExtendALongQuarantine() {
            quarantineBad();
            quarantine.recordCrash(crash(3, "r3", "bad"), AFTER_FIRST_QUARANTINE);
            for (int minute = 1; minute < 60; minute++) {
                assertThat(isRefused(AFTER_FIRST_QUARANTINE + minute * 60 * SECOND, "bad"))
                        .isTrue();
            }
        }
    }

    @Nested
    class Restore {

        @Test
        void takesOverAQuarantineThatItDoesNotKnow() {
            assertThat(quarantine.restore(new Quarantine("part:bad", Set.of(), SECOND, false)))
                    .isTrue();
            assertThat(quarantine.restore(new Quarantine("part:bad", Set.of(), 2 * SECOND, false)))
                    .isFalse();
            assertThat(isRefused(0, "bad")).isTrue();
            assertThat(isRefused(SECOND, "bad")).isFalse();
            assertThat(quarantine.recordCrash(crash(1, "r1", "bad"), 2 * SECOND))
                    .hasSize(1);
        }
    }

    @Nested
    class Traffic {

        private static final int INSTANCES = 6;
        private static final int PARTS_IN_FRONT = 3;
        private static final int SUBJECTS = 200;
        /** The platform counts the requests that are sent after the fifth crash. */
        private static final int MAXIMUM_CRASHES = 5;

        /**
         * Guards against many instances ending before the part is found, and against refusing what all requests share.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
        void findsTheCrashingPartAmongSoundRequests(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            List<List<RequestTraits>> unproven = new ArrayList<>();
            for (int instance = 0; instance < INSTANCES; instance++) {
                unproven.add(new ArrayList<>());
            }
            int crashes = 0;
            int refusedFronts = 0;
            for (int request = 0; request < 3_000; request++) {
                long now = request * 10L;
                String front = "front" + random.nextInt(PARTS_IN_FRONT);
                String subject = "subject" + (int) (SUBJECTS * Math.pow(random.nextDouble(), 2));
                boolean crashing = request > 300 && random.nextInt(20) == 0;
                RequestTraits traits = crashing ? traits(front, subject, "bad") : traits(front, subject);
                refusedFronts += isRefused(now, front) ? 1 : 0;
                if (quarantine.find(traits, now).isPresent()) {
                    continue;
                }
                List<RequestTraits> atInstance = unproven.get(random.nextInt(INSTANCES));
                atInstance.add(traits);
                if (crashing) {
                    quarantine.recordCrash(report(request, atInstance), now);
                    atInstance.clear();
                    crashes++;
                } else if (atInstance.size() > 3) {
                    quarantine.recordAnswer(atInstance.remove(0), now);
                }
            }
            assertThat(crashes).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(refusedFronts).isZero();
        }

        private CrashReport report(int run, List<RequestTraits> requests) {
            List<CrashReport.Suspect> suspects = new ArrayList<>();
            for (RequestTraits each : requests) {
                suspects.add(new CrashReport.Suspect("r" + run + "-" + suspects.size(), each.all(), 0));
            }
            return new CrashReport("i", run, suspects);
        }
    }
}
