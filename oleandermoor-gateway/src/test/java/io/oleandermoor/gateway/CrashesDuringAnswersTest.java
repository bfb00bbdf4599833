package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.GradualAnswer;
import io.oleandermoor.gateway.standin.GradualAnswer.Framing;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.gateway.standin.RawCaller;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests complete entries with requests that end each instance while it answers them. */
class CrashesDuringAnswersTest {

    private static final int INSTANCES = 7;
    private static final int CRASHING_REQUESTS = 8;
    private static final int MAXIMUM_CRASHES = 4;
    private static final int REFUSED = 503;

    private static final Predicate<Map<String, String>> HAS_CRASHING_PART =
            request -> request.getOrDefault("prompt-prefix", "").contains("c0ffee:");
    private static final Predicate<Map<String, String>> HAS_CRASHING_BODY =
            request -> request.get("body").equals("crash");

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final List<InstanceStandIn> instances = new ArrayList<>();
    private EntryFixture entry;

    @BeforeEach
    void start() throws Exception {
        entry = new EntryFixture();
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        entry.close();
    }

    private void startInstances(String service, GradualAnswer answer, Predicate<Map<String, String>> crashCondition)
            throws IOException {
        for (int number = 0; number < INSTANCES; number++) {
            InstanceStandIn instance = entry.startInstance("i-" + number, service, Behaviour.ANSWER);
            instance.answerGradually(answer);
            instance.crashOn(crashCondition);
            instances.add(instance);
        }
        entry.awaitReady();
        pause(900);
    }

    private long crashes() {
        return instances.stream().filter(InstanceStandIn::hasEnded).count();
    }

    private static void pause(long millis) {
        await().pollDelay(Duration.ofMillis(millis)).until(() -> true);
    }

    /** Returns the status of a request, or 0 if its stream was broken off. */
    private static int status(EntryFixture sender, String path, String prompt, String body) throws Exception {
        try {
            return sender.call(path, "key-1", prompt, body).statusCode();
        } catch (IOException exception) {
            // The stream had begun and was broken off.
            return 0;
        }
    }

    /** Sends a sound request at intervals in the background; the result is their status codes. */
    private CompletableFuture<List<Integer>> sendSound(
            EntryFixture sender, String path, String prompt, int requests, long intervalMillis) {
        List<CompletableFuture<Integer>> sent = new ArrayList<>();
        return CompletableFuture.supplyAsync(
                () -> {
                    for (int number = 0; number < requests; number++) {
                        String body = "sound " + number;
                        String own = prompt + ",ab" + number + ":5";
                        sent.add(CompletableFuture.supplyAsync(
                                () -> {
                                    try {
                                        return status(sender, path, own, body);
                                    } catch (Exception exception) {
                                        throw new CompletionException(exception);
                                    }
                                },
                                callers));
                        pause(intervalMillis);
                    }
                    return sent.stream().map(CompletableFuture::join).toList();
                },
                callers);
    }

    @Nested
    class RepeatedRequest {

        /** Guards against taking a stream that has begun for proof that its request is sound. */
        @ParameterizedTest
        @CsvSource({"4, 60", "7, 60", "5, 400"})
        void requestThatEndsInstancesDuringItsStreamIsRefused(int piecesBeforeCrash, long pauseMillis)
                throws Exception {
            startInstances(
                    "words", new GradualAnswer(Framing.STREAM, 8, pauseMillis, piecesBeforeCrash), HAS_CRASHING_BODY);
            int lastStatus = 0;
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                lastStatus = status(entry, STREAM_PATH, "a1:20,b2:5", "crash");
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(lastStatus).isEqualTo(REFUSED);
            assertThat(status(entry, STREAM_PATH, "a1:20,b3:5", "sound")).isEqualTo(200);
        }

        /** Guards against taking the rest of a stream, resumed elsewhere, for proof that its request is sound. */
        @Test
        void requestWhoseResumedRunEndsWellIsRefusedAllTheSame() throws Exception {
            startInstances("words", new GradualAnswer(Framing.STREAM, 6, 60, 6), HAS_CRASHING_BODY);
            int lastStatus = 0;
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                lastStatus = status(entry, STREAM_PATH, "a1:20,b2:5", "crash");
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(lastStatus).isEqualTo(REFUSED);
        }

        /** Guards against taking the end of an instance for the end of its answer. */
        @ParameterizedTest
        @EnumSource(names = {"LENGTH", "UNFRAMED"})
        void requestThatEndsInstancesDuringAPlainAnswerIsRefused(Framing framing) throws Exception {
            startInstances("shop", new GradualAnswer(framing, 8, 60, 5), HAS_CRASHING_BODY);
            int lastStatus = 0;
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                lastStatus = status(entry, SAFE_PATH, "", "crash");
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(lastStatus).isEqualTo(REFUSED);
            assertThat(status(entry, SAFE_PATH, "", "sound")).isEqualTo(200);
        }
    }

    @Nested
    class AnswerThatEndsWithItsConnection {

        /** Guards against a suspicion that no answer ends because all answers end with their connections. */
        @Test
        void endsTheSuspicionIfItsInstanceGoesOn() throws Exception {
            AtomicBoolean crashing = new AtomicBoolean(true);
            startInstances(
                    "shop",
                    new GradualAnswer(Framing.UNFRAMED, 4, 20, 3),
                    request -> crashing.get() && HAS_CRASHING_BODY.test(request));
            status(entry, SAFE_PATH, "", "crash");
            pause(100);
            assertThat(crashes()).isEqualTo(1);
            crashing.set(false);
            status(entry, SAFE_PATH, "", "crash");
            pause(100);
            crashing.set(true);
            status(entry, SAFE_PATH, "", "crash");
            pause(100);
            assertThat(crashes()).isEqualTo(2);
            crashing.set(false);
            assertThat(status(entry, SAFE_PATH, "", "crash")).isEqualTo(200);
        }
    }

    @Nested
    class SharedPart {

        /** Guards against clearing a part by the beginning of a stream that ends its instance later. */
        @Test
        void requestsWithAPartThatEndsInstancesDuringTheirStreamsAreRefused() throws Exception {
            startInstances("words", new GradualAnswer(Framing.STREAM, 8, 60, 4), HAS_CRASHING_PART);
            int lastStatus = 0;
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                lastStatus = status(entry, STREAM_PATH, "a1:20,c0ffee:15,1a" + number + ":5", "crashing " + number);
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(lastStatus).isEqualTo(REFUSED);
        }

        /** Guards against refusing sound requests that share a part with the one that ends instances. */
        @ParameterizedTest
        @EnumSource(names = {"STREAM", "LENGTH"})
        void soundRequestsWithAPartOfTheCrashingOneAreNotRefused(Framing framing) throws Exception {
            boolean stream = framing == Framing.STREAM;
            String path = stream ? STREAM_PATH : SAFE_PATH;
            startInstances(stream ? "words" : "shop", new GradualAnswer(framing, 10, 100, 3), HAS_CRASHING_BODY);
            CompletableFuture<List<Integer>> sound = sendSound(entry, path, "a1:20", 60, 40);
            int lastStatus = 0;
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                lastStatus = status(entry, path, "a1:20,b2:5", "crash");
                pause(200);
            }
            assertThat(sound.join()).doesNotContain(REFUSED);
            assertThat(crashes()).isBetween(2L, (long) MAXIMUM_CRASHES);
            assertThat(lastStatus).isEqualTo(REFUSED);
        }
    }

    @Nested
    class CallerThatLeaves {

        private static final long LEAVE_MILLIS = 120;

        private void sendAndLeave() throws Exception {
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                caller.write(RawCaller.head("POST", STREAM_PATH, "left-" + System.nanoTime())
                        + "Content-Length: 5\r\n\r\ncrash");
                pause(LEAVE_MILLIS);
            }
        }

        private void startInstancesThatContinue() throws IOException {
            startInstances("words", new GradualAnswer(Framing.STREAM, 20, 60, 5), HAS_CRASHING_BODY);
        }

        private void leaveAgainAndAgain(EntryFixture other) throws Exception {
            CompletableFuture<List<Integer>> sound = sendSound(other, STREAM_PATH, "a1:20", 40, 100);
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                sendAndLeave();
                pause(400);
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
            assertThat(sound.join()).doesNotContain(REFUSED);
        }

        /** Guards against forgetting a run that goes on at its instance after its caller has left. */
        @Test
        void requestWhoseCallerLeavesBeforeTheCrashIsRefused() throws Exception {
            startInstancesThatContinue();
            leaveAgainAndAgain(entry);
        }

        /** Guards against the same where no connection tells of the crash. */
        @Test
        void requestIsRefusedAlsoIfNothingElseRuns() throws Exception {
            startInstancesThatContinue();
            for (int number = 0; number < CRASHING_REQUESTS; number++) {
                sendAndLeave();
                pause(1_200);
            }
            assertThat(crashes()).isLessThanOrEqualTo(MAXIMUM_CRASHES);
        }

        /** Guards against the same where only another entry has connections by which it notices the crash. */
        @Test
        void requestIsRefusedAlsoIfAnotherEntryNoticesTheCrash() throws Exception {
            startInstancesThatContinue();
            try (EntryFixture peer = entry.startPeer("entry-2")) {
                leaveAgainAndAgain(peer);
            }
        }
    }
}
