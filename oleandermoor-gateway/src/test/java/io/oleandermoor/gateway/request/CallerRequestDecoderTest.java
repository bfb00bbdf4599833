package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.oleandermoor.state.callers.CallerMemory;
import io.oleandermoor.transport.framing.ResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerRequestDecoderTest {

    private static final String LINE = "GET / HTTP/1.1\r\n";

    private final CallerMemory<CallerConnection> account = new CallerMemory<>(1 << 20);
    private final RequestMemory memory = new RequestMemory(account.open("a", null));
    private final Queue<HttpMethod> methods = new ArrayDeque<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            new ResponseEncoder(methods),
            new CallerRequestDecoder(8 << 10, 64 << 10, 64 << 10, memory, methods),
            new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    if (message instanceof LastHttpContent last
                            && last.decoderResult().isSuccess()) {
                        memory.requestReceived();
                    }
                    context.fireChannelRead(message);
                }
            });

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private String respond() {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        ByteBuf written = channel.readOutbound();
        try {
            return written.toString(StandardCharsets.US_ASCII);
        } finally {
            written.release();
        }
    }

    @Nested
    class IncompleteHead {

        /** Guards against heads of many short fields, whose decoded form is many times as large as their bytes. */
        @Test
        void costsItsFieldsAndItsBytes() {
            receive(LINE + "a: b\r\n".repeat(1_000));
            assertThat(account.usedBytes())
                    .isGreaterThanOrEqualTo(
                            1_000 * (CallerRequestDecoder.FIELD_BYTES + 6 * CallerRequestDecoder.COPIES));
        }

        @Test
        void costsTheBytesOfALineWithoutEnd() {
            receive(LINE + "a: ");
            receive("b".repeat(5_000));
            assertThat(account.usedBytes()).isGreaterThanOrEqualTo(5_000 * CallerRequestDecoder.COPIES);
        }

        /** Guards against the head behind a complete request on the same connection that is not counted. */
        @Test
        void isCountedBehindACompleteRequest() {
            receive(LINE + "\r\n" + LINE + "a: b\r\n".repeat(1_000));
            memory.dropUnserved();
            assertThat(account.usedBytes()).isZero();
            assertThat(channel.inboundMessages()).hasSize(2);
        }
    }

    @Nested
    class CompleteRequest {

        /** Guards against an account that fills with requests that are answered. */
        @Test
        void costsNothingAfterItsResponse() {
            for (int request = 0; request < 3; request++) {
                receive("POST / HTTP/1.1\r\nContent-Length: 2\r\nx: y\r\n\r\nab");
                assertThat(account.usedBytes()).isPositive();
                memory.serviceBegun();
                assertThat(account.usedBytes()).isPositive();
                memory.serviceEnded();
                assertThat(account.usedBytes()).isZero();
            }
        }
    }

    @Nested
    class MalformedRequest {

        /** Guards against requests of other callers that are dropped for bytes that are discarded, and not kept. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4 5\r\n"
                })
        void costsNothingWhateverFollows(String request) {
            receive(request);
            receive("a: b\r\n".repeat(5_000));
            assertThat(account.usedBytes()).isZero();
        }
    }

    @Nested
    class Response {

        /** Guards against a transfer encoding that the encoder adds although a response to HEAD has no body. */
        @Test
        void isEncodedAccordingToTheMethodOfItsRequest() {
            receive("HEAD / HTTP/1.1\r\n\r\n" + LINE + "\r\n");
            assertThat(methods).containsExactly(HttpMethod.HEAD, HttpMethod.GET);
            assertThat(respond()).startsWith("HTTP/1.1 200 OK");
            assertThat(methods).containsExactly(HttpMethod.GET);
        }
    }
}
