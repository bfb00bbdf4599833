package io.oleandermoor.transport.framing;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EmbeddedHeadDetectorTest {

    private static final Pattern PATTERN = EmbeddedHeadDetector.headerPattern(List.of("Request-Id"));
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nrequest-id: a\r\n\r\n";

    private final EmbeddedHeadDetector detector = new EmbeddedHeadDetector(PATTERN);

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Nested
    class Inspect {

        @Test
        void headIsFoundWhereverTheBodyIsDivided() {
            String body = "HHTTP/1.1 2" + HEAD;
            for (int division = 0; division < body.length(); division++) {
                EmbeddedHeadDetector divided = new EmbeddedHeadDetector(PATTERN);
                divided.inspect(bytes(body.substring(0, division)));
                assertThat(divided.inspect(bytes(body.substring(division))))
                        .as("divided at %d", division)
                        .isTrue();
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "The server says HTTP/1.1 200 OK\r\nand no more.",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nRequest-Id: a",
                    "{\"log\":\"GET / HTTP/1.1 200 12 ms\",\"next\":1}",
                    "Request-Id: a\r\nHTTP/2 is newer"
                })
        void textAboutHttpIsNoHead(String text) {
            assertThat(detector.inspect(bytes(text))).isFalse();
        }

        @Test
        void headBehindLongTextThatBeginsLikeOneIsFound() {
            assertThat(detector.inspect(bytes("HTTP/1.1 200 OK\r\n"))).isFalse();
            assertThat(detector.inspect(bytes("a: b\r\n".repeat(2_000)))).isFalse();
            assertThat(detector.inspect(bytes(HEAD))).isTrue();
        }
    }

    @Nested
    class EndsWithinHead {

        /** Guards against an event loop that stops at a body full of status lines. */
        @Test
        void bodyOfManyStatusLinesIsNotSearchedFurther() {
            for (int part = 0; part < 1_000; part++) {
                assertThat(detector.inspect(bytes("HTTP/1.1 200 OK\r\n".repeat(4_000))))
                        .isFalse();
            }
            assertThat(detector.endsWithinHead(Unpooled.EMPTY_BUFFER)).isFalse();
        }

        @Test
        void headThatBeginsInTheBodyAndContinuesBehindItIsFound() {
            detector.inspect(bytes("text H"));
            assertThat(detector.endsWithinHead(bytes(HEAD.substring(1)))).isTrue();
        }

        /** Guards against a body whose last bytes are the beginning of a copy. */
        @ParameterizedTest
        @ValueSource(strings = {"text HTTP/", "text HTTP/1.1 2", "text HTTP/1.1 200 OK\r\nServer: x"})
        void bodyThatEndsLikeTheBeginningOfHeadIsFound(String body) {
            detector.inspect(bytes(body));
            assertThat(detector.endsWithinHead(Unpooled.EMPTY_BUFFER)).isTrue();
        }

        @ParameterizedTest
        @ValueSource(strings = {"text H", "HTTP, 1.1", "{\"log\":\"GET / HTTP/1.1 200 12 ms\"}"})
        void otherEndIsNoHead(String body) {
            detector.inspect(bytes(body));
            assertThat(detector.endsWithinHead(Unpooled.EMPTY_BUFFER)).isFalse();
        }

        @Test
        void headBehindTheBodyIsNotPartOfIt() {
            detector.inspect(bytes("text H"));
            assertThat(detector.endsWithinHead(bytes(HEAD))).isFalse();
        }
    }
}
