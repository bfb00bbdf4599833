package io.oleandermoor.transport.framing;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {

    private static final String HEAD = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NEXT = "POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nc";

    /** Returns the targets and bodies of the requests in a text that arrives in two parts. */
    private static List<String> decode(String text, int split) {
        EmbeddedChannel channel = new EmbeddedChannel(
                new RequestDecoder(new HttpDecoderConfig(), new ArrayDeque<>()), new HttpObjectAggregator(1 << 10));
        channel.writeInbound(Unpooled.copiedBuffer(text.substring(0, split), StandardCharsets.US_ASCII));
        channel.writeInbound(Unpooled.copiedBuffer(text.substring(split), StandardCharsets.US_ASCII));
        List<String> requests = new ArrayList<>();
        FullHttpRequest request = channel.readInbound();
        while (request != null) {
            requests.add(
                    request.decoderResult().isFailure()
                            ? "malformed"
                            : request.uri() + "=" + request.content().toString(StandardCharsets.US_ASCII));
            request.release();
            request = channel.readInbound();
        }
        channel.finishAndReleaseAll();
        return requests;
    }

    @Nested
    class Chunks {

        /** Guards against a size, or the end of a line, that is lost where the bytes are divided. */
        @Test
        void areDecodedWhereverTheyAreDivided() {
            String text = HEAD + "4;a=b\r\nbody\r\n10\r\n0123456789abcdef\r\n0\r\nx: y\r\n\r\n" + NEXT;
            for (int split = 0; split <= text.length(); split++) {
                assertThat(decode(text, split))
                        .as("split at %d", split)
                        .containsExactly("/a=body0123456789abcdef", "/b=c");
            }
        }

        @Test
        void areMalformedWhereverTheyAreDivided() {
            String text = HEAD + "4\r\nbody\r\n0 5\r\n\r\n" + NEXT;
            for (int split = 0; split <= text.length(); split++) {
                assertThat(decode(text, split)).as("split at %d", split).containsExactly("malformed");
            }
        }
    }
}
