package io.oleandermoor.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.upstream.PoolFixture.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests where the responses of an instance are taken to end. */
class ResponseFramingTest {

    private PoolFixture pool;

    @BeforeEach
    void start() throws Exception {
        pool = new PoolFixture();
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
    }

    private Result send(String version, String framingAndBody) throws Exception {
        pool.standIn()
                .setRawResponse(id -> version + " 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: stamp\r\n"
                        + framingAndBody.translateEscapes());
        return pool.send("current", true);
    }

    /** Guards against a success with a body that is not the whole body of the instance. */
    @Nested
    class UnsoundResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                    "Content-Length: 2\\r\\nTransfer-Encoding: identity\\r\\n\\r\\nok",
                    "Transfer-Encoding:\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                    "Transfer-Encoding: chunked\\r\\nContent-Length: 2\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: gzip, chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked, chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked;a=b\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                    "Content-Length: 2\\r\\nContent-Length: 3\\r\\n\\r\\nok",
                    "Content-Length: 2, 3\\r\\n\\r\\nok",
                    "Content-Length: +2\\r\\n\\r\\nok",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n2 3\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n 2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0 2\\r\\n\\r\\n",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n100000002\\r\\nok\\r\\n0\\r\\n\\r\\n"
                })
        void endsTheAttempt(String framingAndBody) throws Exception {
            Result result = send("HTTP/1.1", framingAndBody);
            assertThat(result.outcome()).isEqualTo("OUTCOME_UNKNOWN");
            assertThat(pool.anomalies()).containsAnyOf(ResponseAnomaly.MALFORMED_HEAD, ResponseAnomaly.MALFORMED_BODY);
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.0", "HTTP/2.0"})
        void ofAVersionWithoutChunksEndsTheAttempt(String version) throws Exception {
            Result result = send(version, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertThat(result.outcome()).isEqualTo("OUTCOME_UNKNOWN");
        }
    }

    /** Guards against failing a run whose response RFC 9112 permits. */
    @Nested
    class SoundResponse {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 2\\r\\n\\r\\nok",
                    "Transfer-Encoding : chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Content-Length: 0002\\r\\n\\r\\nok",
                    "transfer-encoding:CHUNKED\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                    "Transfer-Encoding: , chunked ,\\r\\n\\r\\n02 ;a=\"b;\"\\r\\nok\\r\\n000;c\\r\\nx: y\\r\\n\\r\\n"
                })
        void isPassedOn(String framingAndBody) throws Exception {
            Result result = send("HTTP/1.1", framingAndBody);
            assertThat(result.outcome()).isEqualTo("200");
            assertThat(result.body()).isEqualTo("ok");
        }
    }
}
