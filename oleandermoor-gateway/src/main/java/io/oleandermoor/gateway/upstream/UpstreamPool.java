package io.oleandermoor.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The kept connections to all instances. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Failures reach the handlers of the channel; tasks run on the loop.
public final class UpstreamPool {

    private static final int MAXIMUM_INITIAL_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEADER_BYTES = 32 << 10;
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;
    /** A connection in the same region opens within a few milliseconds; a lost first packet is sent again after 1 s. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** What the operating system holds of one answer that is not read, because its caller does not read either. */
    private static final int RECEIVE_BUFFER_BYTES = 256 << 10;

    private final EventLoop loop;
    private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop of all connections
     */
    public UpstreamPool(EventLoop loop) {
        this.loop = loop;
    }

    /** A send that is under way. */
    public interface InFlightRequest {

        /**
         * Cancels the request at the instance; its attempt hears nothing more.
         *
         * @return whether any of the request may have reached the instance
         */
        boolean cancel();

        /**
         * Reads on or stops reading what the instance sends. An instance whose bytes are not read stops sending once
         * the buffers of both operating systems are full.
         *
         * @param reads whether to read
         */
        void setAutoRead(boolean reads);
    }

    /**
     * Sends a request once.
     *
     * @param instance the instance
     * @param request the request, which the pool releases
     * @param id the identifier that the answer must carry
     * @param attempt receives what comes of it
     */
    public InFlightRequest send(
            UpstreamInstance instance, FullHttpRequest request, String id, ResponseListener attempt) {
        Optional<UpstreamConnection> kept = acquireIdle(instance.id(), id);
        if (kept.isPresent()) {
            kept.get().send(request, id, attempt);
            return kept.get();
        }
        return connect(instance, request, id, attempt);
    }

    private Optional<UpstreamConnection> acquireIdle(String instance, String id) {
        Deque<UpstreamConnection> connections = idleConnections.get(instance);
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection connection = connections.pollLast();
            // A second copy of the answer to an earlier send of the same request would be taken for the answer to this
            // one.
            if (connection.isIdle() && !connection.lastServed(id)) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private InFlightRequest connect(
            UpstreamInstance instance, FullHttpRequest request, String id, ResponseListener attempt) {
        UpstreamConnection connection = new UpstreamConnection(this, instance.id());
        ConnectingRequest opening = new ConnectingRequest(connection);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(
                                        MAXIMUM_INITIAL_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(instance.host(), instance.port())
                .addListener(future -> {
                    if (opening.cancelled) {
                        request.release();
                        connection.close();
                    } else if (future.isSuccess()) {
                        connection.send(request, id, attempt);
                    } else {
                        request.release();
                        attempt.onFailure(ResponseListener.FailureKind.NOT_SENT, "no connection: " + future.cause());
                    }
                });
        return opening;
    }

    void release(UpstreamConnection connection) {
        if (connection.isIdle()) {
            idleConnections
                    .computeIfAbsent(connection.instanceId(), key -> new ArrayDeque<>())
                    .addLast(connection);
        } else {
            connection.close();
        }
    }

    void connectionClosed(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idleConnections.get(connection.instanceId());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Closes the idle connections of all instances but some. */
    public void retainInstances(Set<String> instances) {
        idleConnections.entrySet().removeIf(entry -> {
            if (instances.contains(entry.getKey())) {
                return false;
            }
            // Closing removes a connection from its queue, so the queue is emptied first.
            Deque<UpstreamConnection> connections = new ArrayDeque<>(entry.getValue());
            entry.getValue().clear();
            connections.forEach(UpstreamConnection::close);
            return true;
        });
    }

    /** A send that waits for its connection. */
    private static final class ConnectingRequest implements InFlightRequest {

        private final UpstreamConnection connection;
        private boolean cancelled;

        ConnectingRequest(UpstreamConnection connection) {
            this.connection = connection;
        }

        @Override
        public boolean cancel() {
            cancelled = true;
            return connection.cancel();
        }

        @Override
        public void setAutoRead(boolean reads) {
            connection.setAutoRead(reads);
        }
    }
}
