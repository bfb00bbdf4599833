package io.oleandermoor.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.upstream.PoolFixture.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses of an instance whose status is no status of a final response. */
class ResponseStatusTest {

    private PoolFixture pool;

    @BeforeEach
    void start() throws Exception {
        pool = new PoolFixture();
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
    }

    private static String response(String status, String id) {
        return "HTTP/1.1 " + status + " Odd\r\nRequest-Id: " + id
                + "\r\nResponse-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok";
    }

    private Result send(String status) throws Exception {
        pool.standIn().setRawResponse(id -> response(status, id));
        return pool.send("current", true);
    }

    @Nested
    class InvalidStatus {

        /**
         * Guards against a caller that waits until its deadline, because the status counts as that of an interim
         * response, and against a status that is passed on although it is none.
         */
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "0", "20", "2000", "0200", "600", "999", "2x0", "-20", "+20"})
        void endsTheAttemptAtOnce(String status) throws Exception {
            Result result = send(status);
            assertThat(result.outcome()).isEqualTo("OUTCOME_UNKNOWN");
            assertThat(result.stamps()).isEmpty();
            assertThat(pool.anomalies()).contains(ResponseAnomaly.MALFORMED_HEAD);
        }
    }

    @Nested
    class InterimStatus {

        /** Guards against a sound response that is taken for a broken one because of the interim one before it. */
        @Test
        void isSkippedBeforeTheFinalResponse() throws Exception {
            pool.standIn().setRawResponse(id -> "HTTP/1.1 103 Early Hints\r\n\r\n" + response("200", id));
            assertThat(pool.send("current", true).outcome()).isEqualTo("200");
        }
    }

    @Nested
    class FinalStatus {

        /** Guards against unusual but valid statuses that are taken for broken ones. */
        @ParameterizedTest
        @ValueSource(strings = {"200", "299", "418", "599"})
        void isPassedOn(String status) throws Exception {
            assertThat(send(status).outcome()).isEqualTo(status);
        }
    }
}
