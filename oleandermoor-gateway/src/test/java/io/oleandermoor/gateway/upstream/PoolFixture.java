package io.oleandermoor.gateway.upstream;

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
import io.oleandermoor.platform.RequestHeaders.ResponseHead;
import io.oleandermoor.platform.UpstreamInstanceDecoder;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A connection pool with one instance. */
final class PoolFixture implements AutoCloseable {

    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final UpstreamPool pool = new UpstreamPool(loop);
    private final List<ResponseAnomaly> anomalies = new CopyOnWriteArrayList<>();
    private final InstanceStandIn standIn = new InstanceStandIn("i-1", Behaviour.ANSWER);
    private final UpstreamInstance instance;

    PoolFixture() throws Exception {
        instance = UpstreamInstanceDecoder.decode(
                "i-1", standIn.registration("shop", "ready", "[]").getBytes(StandardCharsets.UTF_8));
        pool.setAnomalyListener((anomaly, instanceId, requestId, detail) -> anomalies.add(anomaly));
    }

    InstanceStandIn standIn() {
        return standIn;
    }

    /** Returns the anomalies found so far. */
    List<ResponseAnomaly> anomalies() {
        return anomalies;
    }

    /** Makes the pool forget what it knows of the instance, as when it is gone for some time. */
    void forgetInstance() throws Exception {
        loop.submit(() -> pool.retainInstances(Set.of())).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * How a request ended.
     *
     * @param outcome the status of a complete response, or the kind of failure
     * @param stamps the signatures in the response
     * @param body the body of the response as far as it was received
     */
    record Result(String outcome, List<String> stamps, String body) {}

    /** Sends a request and returns how it ended: the status, or the kind of failure. */
    String send(String id) throws Exception {
        return send(id, true).outcome();
    }

    /** Sends a request if it may be sent once its connection is open, and returns how it ended. */
    Result send(String id, boolean maySend) throws Exception {
        RecordingListener listener = new RecordingListener(maySend);
        loop.execute(() -> {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
            request.headers().set("Request-Id", id);
            pool.send(instance, request, id, listener);
        });
        return listener.result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        standIn.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static final class RecordingListener implements ResponseListener {

        private final CompletableFuture<Result> result = new CompletableFuture<>();
        private final List<String> stamps = new ArrayList<>();
        private final StringBuilder body = new StringBuilder();
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
            stamps.addAll(response.headers().getAll("Response-Stamp"));
        }

        @Override
        public void onContent(ByteBuf content) {
            body.append(content.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onComplete() {
            result.complete(new Result(Integer.toString(status), stamps, body.toString()));
        }

        @Override
        public void onFailure(FailureKind kind, String reason) {
            result.complete(new Result(kind.name(), stamps, body.toString()));
        }
    }
}
