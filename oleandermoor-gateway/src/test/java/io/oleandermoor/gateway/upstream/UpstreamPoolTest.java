package io.oleandermoor.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import io.oleandermoor.gateway.standin.InstanceStandIn.Behaviour;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.RequestHeaders.ResponseHead;
import io.oleandermoor.platform.UpstreamInstanceDecoder;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UpstreamPoolTest {

    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final UpstreamPool pool = new UpstreamPool(loop);
    private InstanceStandIn standIn;
    private UpstreamInstance instance;

    @BeforeEach
    void start() throws Exception {
        standIn = new InstanceStandIn("i-1", Behaviour.ANSWER);
        instance = describe();
    }

    @AfterEach
    void stop() throws Exception {
        standIn.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamInstance describe() throws DecodeException {
        return UpstreamInstanceDecoder.decode(
                "i-1", standIn.registration("shop", "ready", "[]").getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request and returns how it ended: the status, or the kind of failure. */
    private String send(String id, boolean maySend) throws Exception {
        RecordingListener listener = new RecordingListener(maySend);
        loop.execute(() -> {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
            request.headers().set("Request-Id", id);
            pool.send(instance, request, id, listener);
        });
        return listener.result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static final class RecordingListener implements ResponseListener {

        private final CompletableFuture<String> result = new CompletableFuture<>();
        private final boolean maySend;
        private int status;

        RecordingListener(boolean maySend) {
            this.maySend = maySend;
        }

        @Override
        public boolean maySend() {
            return maySend;
        }

        @Override
        public void onHead(ResponseHead head, HttpResponse response) {
            status = head.status();
        }

        @Override
        public void onContent(ByteBuf content) {}

        @Override
        public void onComplete() {
            result.complete(Integer.toString(status));
        }

        @Override
        public void onFailure(FailureKind kind, String reason) {
            result.complete(kind.name());
        }
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
            assertThat(send("refused", true)).isEqualTo("503");
            standIn.setBehaviour(Behaviour.ANSWER);
            assertThat(send("other", true)).isEqualTo("200");
            assertThat(send("refused", true)).isEqualTo("200");
            assertThat(standIn.receivedRequests())
                    .extracting(request -> request.get("connection"))
                    .satisfies(connections -> {
                        assertThat(connections.get(1)).isEqualTo(connections.get(0));
                        assertThat(connections.get(2)).isNotEqualTo(connections.get(0));
                    });
        }

        /** Guards against an answer that breaks off anywhere, also in its head, and is taken for a complete one. */
        @ParameterizedTest
        @EnumSource(
                value = Behaviour.class,
                names = {"PARTIAL_RESPONSE", "PARTIAL_STREAM"})
        void responseThatBreaksOffFailsWithUnknownOutcome(Behaviour behaviour) throws Exception {
            standIn.setBehaviour(behaviour);
            standIn.setPartialBytes(Integer.MAX_VALUE);
            assertThat(send("part-000", true)).isEqualTo("200");
            int completeBytes = (int) standIn.writtenBytes();
            for (int bytes = 0; bytes < completeBytes; bytes++) {
                standIn.setPartialBytes(bytes);
                assertThat(send(String.format(Locale.ROOT, "part-%03d", bytes), true))
                        .as("result after %d of %d bytes", bytes, completeBytes)
                        .isEqualTo("OUTCOME_UNKNOWN");
            }
        }

        /** Guards against a request that was decided before its instance withdrew, and sent after it. */
        @Test
        void requestIsNotSentIfItsInstanceWithdrewWhileConnecting() throws Exception {
            assertThat(send("late", false)).isEqualTo("WITHDRAWN");
            assertThat(standIn.receivedRequests()).isEmpty();
        }
    }
}
