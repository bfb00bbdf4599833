package io.oleandermoor.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.oleandermoor.daemon.entry.EntryDaemon;
import io.oleandermoor.standin.engine.EngineTokens;
import io.oleandermoor.standin.load.LoadGenerator;
import io.oleandermoor.standin.load.LoadPlan;
import io.oleandermoor.standin.load.LoadReport;
import io.oleandermoor.standin.network.FaultyProxy;
import io.oleandermoor.standin.network.FaultyProxy.Direction;
import io.oleandermoor.standin.platform.StoreFaults;
import io.oleandermoor.standin.service.ServiceFaults;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Failures of running daemons on loopback. */
class FleetFailureTest {

    private static final int TOKEN_MILLIS = 10;

    private static final int TOKENS = 500;

    private static final Duration DETECTION = Duration.ofSeconds(3);

    private TestFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(TOKEN_MILLIS);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class Streams {

        private StreamCall stream;
        private int agent;
        private long startedBefore;

        @BeforeEach
        void startStream() {
            startedBefore = fleet.completions();
            stream = fleet.stream(0, TestFleet.KEY, "a long story", TOKENS);
            await().atMost(TestFleet.SECONDS).until(() -> stream.tokens() > 10);
            agent = fleet.busyAgent();
        }

        /** Guards against a stream that ends, or repeats or loses tokens, when its engine dies. */
        @Test
        void goOnAtAnotherUpstreamWhenTheUpstreamDies() {
            fleet.engines.get(agent).close();
            assertComplete();
        }

        /** Guards against a stream that ends, or repeats or loses tokens, when its agent dies. */
        @Test
        void goOnAtAnotherUpstreamWhenTheAgentDies() {
            fleet.agents.get(agent).close();
            assertComplete();
        }

        /** Guards against a stream that waits for ever for an agent whose machine is gone without closing anything. */
        @Test
        void goOnAtAnotherUpstreamWhenTheMachineOfTheAgentIsGone() {
            fleet.proxies.get(agent).silenceAll(Direction.TO_TARGET, Direction.TO_CLIENT);
            assertComplete();
        }

        /** Guards against a silent connection that stalls a stream or makes it run a second time. */
        @ParameterizedTest
        @CsvSource({"TO_TARGET,TO_CLIENT", "TO_CLIENT,TO_CLIENT", "TO_TARGET,TO_TARGET"})
        void attachAgainWhenTheConnectionGoesSilent(Direction first, Direction second) {
            fleet.proxies
                    .get(agent)
                    .silenceOpen(java.util.EnumSet.of(first, second).toArray(Direction[]::new));
            int before = stream.tokens();
            // With a silent direction to the client the text stops; it must go on within the time of detection.
            await().atMost(DETECTION).until(() -> stream.tokens() > before + 10 || stream.isDone());
            assertComplete();
            assertThat(fleet.completions() - startedBefore)
                    .as("completions that engines started")
                    .isEqualTo(1);
        }

        /** Guards against a cut connection that ends a stream or makes it run a second time. */
        @Test
        void attachAgainWhenTheConnectionIsCut() {
            fleet.proxies.get(agent).cut();
            assertComplete();
            assertThat(fleet.completions() - startedBefore)
                    .as("completions that engines started")
                    .isEqualTo(1);
        }

        /** Guards against a revoked key that keeps working on streams that are under way. */
        @Test
        void endWhenTheirKeyIsRevoked() {
            StreamCall other = fleet.stream(0, TestFleet.OTHER_KEY, "another story", TOKENS);
            assertThat(fleet.operator("key", "revoke", "key-one")).isEqualTo(ExitCode.OK);
            await().atMost(DETECTION).until(stream::isDone);
            assertThat(stream.end()).contains("key_revoked");
            await().atMost(TestFleet.SECONDS).until(other::isDone);
            assertThat(other.end()).isEqualTo("complete");
        }

        private void assertComplete() {
            await().atMost(TestFleet.SECONDS).until(stream::isDone);
            assertThat(stream.end()).isEqualTo("complete");
            assertThat(stream.text()).isEqualTo(EngineTokens.text("a long story", TOKENS));
        }
    }

    @Nested
    class Bookings {

        private static final int SLOW_MILLIS = 500;
        /** Longer than a look at the metrics of all agents takes on a busy machine. */
        private static final int OBSERVABLE_MILLIS = 5_000;

        private int before;

        @BeforeEach
        void count() {
            before = fleet.service.calls().size();
        }

        /** Guards against two entries that both run a booking that its caller sent twice. */
        @Test
        void runOnceWhenSentThroughTwoEntriesAtTheSameTime() throws Exception {
            fleet.service.setFaults(new ServiceFaults(SLOW_MILLIS, 0, false, ""));
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int entry = 0; entry < TestFleet.ENTRIES; entry++) {
                answers.add(
                        fleet.client.sendAsync(fleet.booking(entry, "twice"), HttpResponse.BodyHandlers.ofString()));
            }
            List<Integer> statuses =
                    answers.stream().map(answer -> answer.join().statusCode()).toList();
            assertThat(statuses).contains(200).allMatch(status -> status == 200 || status == 409);
            assertThat(fleet.send(fleet.booking(1, "twice")).statusCode()).isEqualTo(200);
            assertRan(1);
        }

        /** Guards against a booking that runs again because the answer to the write of its record was lost. */
        @Test
        void runOnceWhenTheAnswerOfTheKeyValueServiceIsLost() throws Exception {
            fleet.store.setFaults(new StoreFaults(false, 0, 0, 1, "once/", false));
            assertThat(fleet.send(fleet.booking(0, "lost")).statusCode()).isEqualTo(200);
            assertThat(fleet.send(fleet.booking(1, "lost")).statusCode()).isEqualTo(200);
            assertRan(1);
        }

        /** Guards against a booking that runs again through another entry after the first one died. */
        @Test
        void runOnceWhenTheEntryDies() throws Exception {
            fleet.service.setFaults(new ServiceFaults(OBSERVABLE_MILLIS, 0, false, ""));
            var unused = fleet.client.sendAsync(fleet.booking(0, "dies"), HttpResponse.BodyHandlers.ofString());
            fleet.busyAgent();
            fleet.entries.get(0).close();
            await().atMost(TestFleet.SECONDS).until(() -> fleet.service.calls().size() > before);
            HttpResponse<String> repeated = fleet.send(fleet.booking(1, "dies"));
            assertThat(repeated.statusCode()).isIn(200, 409);
            assertRan(1);
        }

        /** Guards against an outage of the key-value service that stops other work or lets a booking run unrecorded. */
        @Test
        void areRefusedAsNotRunWhileTheKeyValueServiceIsDown() throws Exception {
            fleet.store.setFaults(new StoreFaults(true, 0, 0, 0, "", false));
            HttpResponse<String> refused = fleet.send(fleet.booking(0, "down"));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.body()).contains("not_run");
            assertThat(fleet.complete(1, TestFleet.KEY, "during the outage", 5).statusCode())
                    .isEqualTo(200);
            HttpResponse<String> payment = fleet.send(fleet.request(1, "/payments")
                    .header("Authorization", "Bearer " + TestFleet.KEY)
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build());
            assertThat(payment.statusCode()).isEqualTo(200);
            assertRan(1);
            fleet.store.setFaults(StoreFaults.NONE);
            assertThat(fleet.send(fleet.booking(0, "down")).statusCode()).isEqualTo(200);
            assertRan(2);
        }

        private void assertRan(int calls) {
            assertThat(fleet.service.calls().size() - before)
                    .as("calls that the service ran")
                    .isEqualTo(calls);
        }
    }

    @Nested
    class Keys {

        /** Guards against a key that reaches an upstream in any of the places where a caller can put it. */
        @ParameterizedTest
        @CsvSource({
            "Authorization, '', application/json, '{}'",
            "X-Api-Key, '', application/json, '{}'",
            "'', ?api_key=KEY&day=1, application/json, '{}'",
            "'', '', application/json, '{\"api_key\":\"KEY\",\"day\":1}'",
            "'', '', application/x-www-form-urlencoded, api_key=KEY&day=1"
        })
        void areSeenByNoService(String header, String query, String type, String body) throws Exception {
            HttpRequest.Builder request = HttpRequest.newBuilder(
                            fleet.caller(0).resolve("/payments" + query.replace("KEY", TestFleet.KEY)))
                    .header("Content-Type", type)
                    .POST(HttpRequest.BodyPublishers.ofString(body.replace("KEY", TestFleet.KEY)));
            if (!header.isEmpty()) {
                request.header(header, (header.equals("Authorization") ? "Bearer " : "") + TestFleet.KEY);
            }
            assertThat(fleet.send(request.build()).statusCode()).isEqualTo(200);
            assertThat(fleet.service.calls().toString()).contains("/payments").doesNotContain(TestFleet.KEY);
        }

        /** Guards against a key that reaches an engine. */
        @Test
        void areSeenByNoEngine() throws Exception {
            String body = TestFleet.completion("model-1", "hello", 2, false);
            String withKey = body.replace("{\"model\"", "{\"api_key\":\"" + TestFleet.KEY + "\",\"model\"");
            assertThat(fleet.send(fleet.request(0, "/v1/chat/completions")
                                    .POST(HttpRequest.BodyPublishers.ofString(withKey))
                                    .build())
                            .statusCode())
                    .isEqualTo(200);
            assertThat(fleet.complete(0, TestFleet.KEY, "hello", 2).statusCode())
                    .isEqualTo(200);
            fleet.engines.forEach(engine ->
                    assertThat(engine.seenHeaders() + " " + engine.seenBodies()).doesNotContain(TestFleet.KEY));
        }
    }

    @Nested
    class Stops {

        /** Guards against a planned stop of an agent that cuts off or refuses requests. */
        @Test
        void ofAnAgentCutOffNoRequest() throws Exception {
            CompletableFuture<LoadReport> load = load(List.of(0, 1), 8);
            await().atMost(TestFleet.SECONDS).until(() -> fleet.completions() > 50);
            fleet.agents.get(0).stop();
            assertAllComplete(load.get());
        }

        /** Guards against a planned stop of an entry that cuts off requests sent before or while readiness fails. */
        @Test
        void ofAnEntryCutOffNoRequest() throws Exception {
            List<StreamCall> streams = new ArrayList<>();
            for (int index = 0; index < 20; index++) {
                streams.add(fleet.stream(0, TestFleet.KEY, "before " + index, 300));
            }
            CompletableFuture<Void> stop = CompletableFuture.runAsync(fleet.entries.get(0)::stop);
            await().atMost(TestFleet.SECONDS).until(() -> fleet.readiness(0) == 503);
            for (int index = 0; index < 10; index++) {
                streams.add(fleet.stream(0, TestFleet.KEY, "while " + index, 300));
            }
            stop.get();
            await().atMost(TestFleet.SECONDS).until(() -> streams.stream().allMatch(StreamCall::isDone));
            assertThat(streams).extracting(StreamCall::end).containsOnly("complete");
            assertThat(streams.get(25).text()).isEqualTo(EngineTokens.text("while 5", 300));
        }

        private CompletableFuture<LoadReport> load(List<Integer> entries, int seconds) {
            LoadPlan plan = new LoadPlan(
                    entries.stream()
                            .map(entry -> Address.parse(fleet.caller(entry).getAuthority()))
                            .toList(),
                    Optional.empty(),
                    new LoadPlan.Arrivals(11, 40, 10_000, Duration.ofSeconds(seconds), 500),
                    List.of("model-1"),
                    List.of(TestFleet.KEY, TestFleet.OTHER_KEY),
                    new LoadPlan.Mix(0.7, 0.3, 60, 5));
            return CompletableFuture.supplyAsync(() -> {
                try {
                    return new LoadGenerator(plan).run().entries();
                } catch (InterruptedException exception) {
                    throw new IllegalStateException(exception);
                }
            });
        }

        private void assertAllComplete(LoadReport report) {
            assertThat(report.errors()).isEmpty();
            assertThat(report.refusals()).isEmpty();
            assertThat(report.wrongCount()).isZero();
            assertThat(report.completeCount()).isEqualTo(report.sentCount()).isPositive();
        }
    }

    @Nested
    class Connections {

        private static final int REQUESTS = 20;

        /** Guards against refusals by an entry that has lost all connections for a moment, as after a pause. */
        @Test
        void areWaitedForWhenAllAreLost() {
            fleet.proxies.forEach(FaultyProxy::cut);
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int index = 0; index < REQUESTS; index++) {
                HttpRequest request = fleet.request(0, "/v1/chat/completions")
                        .header("Authorization", "Bearer " + TestFleet.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(
                                TestFleet.completion("model-1", "after a cut " + index, 5, false)))
                        .build();
                answers.add(fleet.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
            }
            assertThat(answers).extracting(answer -> answer.join().statusCode()).containsOnly(200);
        }
    }

    @Nested
    class BadRequests {

        /** Guards against a prompt that crashes one engine after the other, and against refusing other requests. */
        @Test
        void thatCrashUpstreamsAreRefusedAfterTwoCrashes() throws Exception {
            fleet.crashOn("poison");
            await("refused with 422")
                    .atMost(TestFleet.SECONDS.multipliedBy(2))
                    .until(() -> fleet.complete(0, TestFleet.KEY, "poison", 5).statusCode() == 422);
            HttpResponse<String> refused = fleet.complete(0, TestFleet.KEY, "poison", 5);
            assertThat(refused.statusCode()).isEqualTo(422);
            assertThat(refused.body()).contains("not_run");
            await("refused by the other entry")
                    .atMost(DETECTION)
                    .until(() -> fleet.complete(1, TestFleet.KEY, "poison", 5).statusCode() == 422);
            assertThat(fleet.complete(1, TestFleet.KEY, "harmless", 5).statusCode())
                    .isEqualTo(200);
        }

        /** Guards against bad input that is answered with a wrong status or without a true outcome. */
        @ParameterizedTest
        @CsvSource({
            "400, live, '{\"model\":'",
            "400, live, '[1]'",
            "400, urgent, VALID",
            "404, live, UNKNOWN",
            "413, live, LARGE"
        })
        void areRefusedAsNotRun(int status, String requestClass, String kind) throws Exception {
            String body = switch (kind) {
                case "VALID" -> TestFleet.completion("model-1", "hello", 2, false);
                case "UNKNOWN" -> TestFleet.completion("model-9", "hello", 2, false);
                case "LARGE" -> TestFleet.completion("model-1", "x".repeat(100_000), 2, false);
                default -> kind;
            };
            long before = fleet.completions();
            HttpResponse<String> response = fleet.send(fleet.request(0, "/v1/chat/completions")
                    .header("Authorization", "Bearer " + TestFleet.KEY)
                    .header("X-Request-Class", requestClass)
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build());
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(response.body()).contains("\"outcome\":\"not_run\"");
            assertThat(fleet.completions()).isEqualTo(before);
        }

        /** Guards against an entry that seems to start although another process has its port. */
        @Test
        void portInUseIsReported() throws Exception {
            EntryDaemon clash = new EntryDaemon(
                    fleet.entrySettings(TestFleet.ENTRIES, fleet.caller(0).getPort()));
            try {
                assertThatThrownBy(clash::start)
                        .isInstanceOf(IOException.class)
                        .hasMessageContaining(String.valueOf(fleet.caller(0).getPort()));
            } finally {
                clash.close();
            }
        }
    }
}
