package io.oleandermoor.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UpstreamPoolTest {

    private PoolFixture pool;
    private InstanceStandIn standIn;

    @BeforeEach
    void start() throws Exception {
        pool = new PoolFixture();
        standIn = pool.standIn();
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
    }

    @Nested
    class Send {

        /**
         * Guards against a refusal that an instance writes once more on a kept connection, after another request, and
         * that would be taken for the response to the retry of the refused request.
         */
        @Test
        void refusedRequestIsNotSentAgainOnTheConnectionOfItsRefusal() throws Exception {
            standIn.setBehaviour(Behaviour.DECLINE);
            assertThat(pool.send("refused")).isEqualTo("503");
            standIn.setBehaviour(Behaviour.ANSWER);
            assertThat(pool.send("other")).isEqualTo("200");
            assertThat(pool.send("refused")).isEqualTo("200");
            assertThat(standIn.receivedRequests())
                    .extracting(request -> request.get("connection"))
                    .satisfies(connections -> {
                        assertThat(connections.get(1)).isEqualTo(connections.get(0));
                        assertThat(connections.get(2)).isNotEqualTo(connections.get(0));
                    });
        }

        /** Guards against a late second response that is taken for that to a later request with the same id. */
        @Test
        void idThatACallerUsesAgainIsNotSentOnTheConnectionOfItsResponse() throws Exception {
            assertThat(pool.send("twice")).isEqualTo("200");
            assertThat(pool.send("other")).isEqualTo("200");
            assertThat(pool.send("twice")).isEqualTo("200");
            assertThat(standIn.receivedRequests())
                    .extracting(request -> request.get("connection"))
                    .satisfies(connections -> assertThat(connections.get(2)).isNotEqualTo(connections.get(1)));
        }

        /**
         * Guards against a late second response without an id that is taken for that to a later request without one.
         */
        @Test
        void requestWithoutIdHasItsConnectionToItself() throws Exception {
            standIn.setRawResponse(id -> "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
            assertThat(pool.send("")).isEqualTo("200");
            assertThat(pool.send("")).isEqualTo("200");
            standIn.setBehaviour(Behaviour.ANSWER);
            assertThat(pool.send("other")).isEqualTo("200");
            assertThat(pool.send("")).isEqualTo("200");
            assertThat(standIn.receivedRequests())
                    .extracting(request -> request.get("connection"))
                    .doesNotHaveDuplicates();
        }

        /** Guards against an answer that breaks off anywhere, also in its head, and is taken for a complete one. */
        @ParameterizedTest
        @EnumSource(
                value = Behaviour.class,
                names = {"PARTIAL_RESPONSE", "PARTIAL_STREAM"})
        void responseThatBreaksOffFailsWithUnknownOutcome(Behaviour behaviour) throws Exception {
            standIn.setBehaviour(behaviour);
            standIn.setPartialBytes(Integer.MAX_VALUE);
            assertThat(pool.send("part-000")).isEqualTo("200");
            int completeBytes = (int) standIn.writtenBytes();
            for (int bytes = 0; bytes < completeBytes; bytes++) {
                standIn.setPartialBytes(bytes);
                assertThat(pool.send(String.format(Locale.ROOT, "part-%03d", bytes)))
                        .as("result after %d of %d bytes", bytes, completeBytes)
                        .isEqualTo("OUTCOME_UNKNOWN");
            }
        }

        /** Guards against a request that was decided before its instance withdrew, and sent after it. */
        @Test
        void requestIsNotSentIfItsInstanceWithdrewWhileConnecting() throws Exception {
            assertThat(pool.send("late", false).outcome()).isEqualTo("WITHDRAWN");
            assertThat(standIn.receivedRequests()).isEmpty();
        }
    }
}
