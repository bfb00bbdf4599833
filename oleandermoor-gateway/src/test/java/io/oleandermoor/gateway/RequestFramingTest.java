package io.oleandermoor.gateway;

import static io.oleandermoor.gateway.standin.EntryFixture.SAFE_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.STREAM_PATH;
import static io.oleandermoor.gateway.standin.EntryFixture.UNSAFE_PATH;
import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.standin.RawCaller;
import java.util.Locale;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests where a complete entry takes the end of a caller's request to be. */
class RequestFramingTest extends AbstractRawRequestTest {

    /** Guards against a body whose text runs as a request of its own, because its length cannot be told. */
    @Nested
    class UnsoundHead {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip",
                    "Transfer-Encoding: identity",
                    "Transfer-Encoding: xchunked",
                    "Transfer-Encoding: chunked;a=b",
                    "Transfer-Encoding: chunked;",
                    "Transfer-Encoding: \"chunked\"",
                    "Transfer-Encoding: chunked gzip",
                    "Transfer-Encoding: chun\r\n ked",
                    "Transfer-Encoding: chunked\u00a0",
                    "Transfer-Encoding: chunked, identity",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                    "Transfer-Encoding:",
                    "Transfer-Encoding: ,",
                    "Transfer-Encoding : chunked",
                    "Transfer-Encoding: \u000bchunked"
                })
        void withoutALengthIsRefused(String framing) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, framing) + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: chunked, chunked",
                    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: a;x=\", chunked",
                    "Transfer-Encoding: a;x=\"b\\\\\", chunked",
                    "Transfer-Encoding: @, chunked",
                    "Transfer-Encoding: gz ip, chunked",
                    "Transfer-Encoding: chunked\r\nContent-Length: 4",
                    "Content-Length: 4\r\nTransfer-Encoding: chunked",
                    "Content-Length: 4\r\nTransfer-Encoding: identity",
                    "Content-Length: 4\r\nTransfer-Encoding: gzip",
                    "Content-Length: 4\r\nTransfer-Encoding:",
                    "Content-Length: 4\r\nContent-Length: 5",
                    "Content-Length: +4",
                    "Content-Length: 4 4",
                    "Content-Length: 0x4",
                    "Content-Length:",
                    "Content-Length : 4",
                    "Content-Length: 18446744073709551620",
                    "X: y\rContent-Length: 4"
                })
        void thatCanBeReadInTwoWaysIsRefused(String framing) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, framing) + CHUNKED_BODY + INNER_REQUEST);
        }

        @ParameterizedTest
        @CsvSource({
            "HTTP/1.0, Transfer-Encoding: chunked",
            "HTTP/1.0, Transfer-Encoding: gzip",
            "HTTP/0.9, Content-Length: 4",
            "HTTP/2.0, Content-Length: 4"
        })
        void ofAVersionWithoutSuchFramingIsRefused(String version, String framing) throws Exception {
            String head = outerHead(UNSAFE_PATH, framing + "\r\nConnection: keep-alive");
            assertRefused(head.replace("HTTP/1.1", version) + CHUNKED_BODY + INNER_REQUEST);
        }

        /** A success in response to CONNECT has no body, whatever its headers say, and ends HTTP on its connection. */
        @Test
        void ofATunnelIsRefused() throws Exception {
            String head = outerHead(UNSAFE_PATH, "Content-Length: 4");
            assertRefused(head.replace("POST ", "CONNECT ") + "body" + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {SAFE_PATH, STREAM_PATH, "/no-such-route/x"})
        void isRefusedOnEveryRoute(String path) throws Exception {
            assertRefused(outerHead(path, "Transfer-Encoding: gzip") + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {"key-2", ""})
        void isRefusedWhateverItsKey(String key) throws Exception {
            String head = outerHead(UNSAFE_PATH, "Transfer-Encoding: gzip");
            assertRefused(head.replace("key-1", key) + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 7})
        void isRefusedHoweverItArrives(int partBytes) throws Exception {
            String text = outerHead(UNSAFE_PATH, "Transfer-Encoding: gzip");
            try (RawCaller caller = new RawCaller(entry.callerPort())) {
                for (int start = 0; start < text.length(); start += partBytes) {
                    caller.write(text.substring(start, Math.min(text.length(), start + partBytes)));
                }
                assertThat(RawCaller.statuses(caller.readToEnd())).containsExactly("400");
            }
            assertThat(executed()).isEmpty();
        }
    }

    /** Guards against a chunk that ends elsewhere for another parser, so that its data runs as a request. */
    @Nested
    class UnsoundChunk {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    " 4\\r\\nbody\\r\\n0",
                    "\\t4\\r\\nbody\\r\\n0",
                    "\\0014\\r\\nbody\\r\\n0",
                    "4 \\r\\nbody\\r\\n0",
                    "4 5\\r\\nbody\\r\\n0",
                    "4\\0015\\r\\nbody\\r\\n0",
                    "4\\0015;a=b\\r\\nbody\\r\\n0",
                    "4\\r\\r\\nbody\\r\\n0",
                    "4\\r\\nbody\\r\\n0 ",
                    "4\\r\\nbody\\r\\n 0",
                    "4\\r\\nbody\\r\\n0 5",
                    "100000004\\r\\nbody\\r\\n0",
                    "10000000000000004\\r\\nbody\\r\\n0",
                    "80000004\\r\\nbody\\r\\n0",
                    "0x4\\r\\nbody\\r\\n0",
                    "-4\\r\\nbody\\r\\n0",
                    "\\r\\nbody\\r\\n0",
                    ";a\\r\\nbody\\r\\n0",
                    "4\\nbody\\r\\n0",
                    "4;a\\nb\\r\\nbody\\r\\n0",
                    "4;a\\r\\r\\nbody\\r\\n0",
                    "4;\\r\\r\\nbody\\r\\n0",
                    "4;a=\"\\r\\n\"\\r\\nbody\\r\\n0",
                    "4;=\\r\\nbody\\r\\n0",
                    "4\\r\\nbody\\n0",
                    "4\\r\\nbodyX\\r\\n0",
                    "4\\r\\nbody0",
                    "4\\r\\nbody\\r\\n0\\r\\nno-colon",
                    "4\\r\\nbody\\r\\n0\\r\\nx : y",
                    "4\\r\\nbody\\r\\n0\\r\\n x: y",
                    "4\\r\\nbody\\r\\n0\\r\\nx: y\\rz"
                })
        void isRefused(String chunks) throws Exception {
            assertRefused(outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked") + chunks.translateEscapes() + "\r\n\r\n"
                    + INNER_REQUEST);
        }

        @ParameterizedTest
        @ValueSource(strings = {SAFE_PATH, STREAM_PATH, "/no-such-route/x"})
        void isRefusedOnEveryRoute(String path) throws Exception {
            assertRefused(outerHead(path, "Transfer-Encoding: chunked") + "4 5\r\nbody\r\n0\r\n\r\n" + INNER_REQUEST);
        }
    }

    /** Guards against refusing chunks that RFC 9112 permits. */
    @Nested
    class SoundChunks {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "4;a\\r\\nbody\\r\\n0",
                    "4;a=b;c=\"d;\\\\\"e\"\\r\\nbody\\r\\n0;f",
                    "4 \\t;\\ta = b\\r\\nbody\\r\\n0",
                    "0000000000000000004\\r\\nbody\\r\\n000",
                    "1\\r\\nb\\r\\n3\\r\\nody\\r\\n0",
                    "4\\r\\nbody\\r\\n0\\r\\nx: y\\r\\nz:",
                    "4\\r\\nbody\\r\\n0\\r\\nContent-Length: 9\\r\\nTransfer-Encoding: gzip"
                })
        void areServed(String chunks) throws Exception {
            assertBothServed(
                    outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked") + chunks.translateEscapes() + "\r\n\r\n");
        }

        /** The data of a chunk may look like the end of the body and a request. */
        @Test
        void containAnyData() throws Exception {
            String data = "\r\n0\r\n\r\n" + INNER_REQUEST;
            exchange(outerHead(UNSAFE_PATH, "Transfer-Encoding: chunked\r\nConnection: close")
                    + Integer.toHexString(data.length()).toUpperCase(Locale.ROOT) + "\r\n" + data + "\r\n0\r\n\r\n");
            assertThat(executed()).containsExactly(OUTER_ID + "=" + data);
        }
    }

    @Nested
    class ReadinessCheck {

        /** Guards against a body that counts as readiness checks, or a request for metrics, of its own. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: gzip\\r\\n\\r\\n",
                    "Transfer-Encoding: gzip\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
                    "Transfer-Encoding: chunked\\r\\n\\r\\n4 5\\r\\nbody\\r\\n0\\r\\n\\r\\n"
                })
        void withoutACertainEndIsRefused(String framingAndBody) throws Exception {
            try (RawCaller caller = new RawCaller(entry.readyPort())) {
                caller.write(RawCaller.head("GET", "/api/ready", OUTER_ID) + framingAndBody.translateEscapes()
                        + "GET /metrics HTTP/1.1\r\n\r\n");
                assertThat(RawCaller.statuses(caller.readToEnd())).containsExactly("400");
            }
        }
    }

    /** Guards against refusing, or reading otherwise, what RFC 9112 permits. */
    @Nested
    class SoundHead {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Transfer-Encoding: chunked",
                    "Transfer-Encoding:chunked",
                    "transfer-encoding: Chunked",
                    "Transfer-Encoding: \t CHUNKED \t ",
                    "Transfer-Encoding: gzip, chunked",
                    "Transfer-Encoding: gzip;a=b , chunked",
                    "Transfer-Encoding: a;x=\"p, chunked\" , chunked",
                    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                    "Transfer-Encoding: , ,chunked",
                    "Transfer-Encoding: chunked ,",
                    "Transfer-Encoding: chunked\r\nTrailer: x",
                    "Transfer-Encoding: chunked\r\nConnection: Transfer-Encoding"
                })
        void withChunksIsServed(String framing) throws Exception {
            assertBothServed(outerHead(UNSAFE_PATH, framing) + CHUNKED_BODY);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 4",
                    "content-length:4",
                    "Content-Length: \t 4 \t ",
                    "Content-Length: 0004",
                    "Content-Length: 4\r\nConnection: Content-Length",
                    "Content-Length: 4\r\nX: a\r\n Transfer-Encoding: gzip"
                })
        void withALengthIsServed(String framing) throws Exception {
            assertBothServed(outerHead(UNSAFE_PATH, framing) + "body");
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.0", "HTTP/1.2"})
        void ofAnotherMinorVersionIsServed(String version) throws Exception {
            String head = outerHead(UNSAFE_PATH, "Content-Length: 4\r\nConnection: keep-alive");
            assertBothServed(head.replace("HTTP/1.1", version) + "body");
        }
    }
}
