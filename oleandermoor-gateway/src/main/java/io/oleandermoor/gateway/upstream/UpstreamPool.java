package io.oleandermoor.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.EngineClient;
import io.oleandermoor.platform.ResponseNotice;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/** Pool of keep-alive connections to all instances. Used on the event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // Channel handlers receive failures; tasks run on the event loop.
public final class UpstreamPool {

    /** Connecting within a region takes a few milliseconds; TCP retransmits a lost SYN only after 1 s. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    private static final int PROBE_TIMEOUT_MILLIS = 250;

    /** Time without reuse of the connections to an instance after it has spoilt a response. */
    private static final long REUSE_SUSPENSION_MILLIS = 10_000;

    /** Limits what the operating system buffers of a response that is not read because its caller does not read. */
    private static final int RECEIVE_BUFFER_BYTES = 256 << 10;

    private final EventLoop loop;
    private EngineClient.NoticeListener noticeListener = (instance, notice) -> {};
    private ResponseAnomaly.Listener anomalyListener = (anomaly, instance, request, detail) -> {};
    private Consumer<String> contactLossListener = instance -> {};
    private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();
    private final Map<String, Long> reuseSuspendedUntilMillis = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop that handles all connections
     */
    public UpstreamPool(EventLoop loop) {
        this.loop = loop;
    }

    /** The result of opening a connection to an instance. */
    public enum ProbeResult {
        /** The instance accepts connections. */
        ACCEPTED,
        /** Nothing listens at the address of the instance. */
        REFUSED,
        /** The instance did not respond in time. */
        UNKNOWN;

        private static ProbeResult of(Future<?> connecting) {
            if (connecting.isSuccess()) {
                return ACCEPTED;
            }
            boolean refused = connecting.cause() instanceof ConnectException
                    && !(connecting.cause() instanceof ConnectTimeoutException);
            return refused ? REFUSED : UNKNOWN;
        }
    }

    /** Handle of a request that has no complete response yet. */
    public interface InFlightRequest {

        /**
         * Cancels the request by closing its connection. The listener is not called afterwards.
         *
         * @return whether any part of the request may have reached the instance
         */
        boolean cancel();

        /**
         * Resumes or pauses reading from the connection. While reading is paused, the instance can send only until the
         * socket buffers on both sides are full.
         *
         * @param enabled whether to read
         */
        void setAutoRead(boolean enabled);
    }

    /**
     * Sends a request once, over an idle connection if it has an id and there is one.
     *
     * @param instance the instance to send to
     * @param request the request; the pool releases it
     * @param id the request id that the response must carry
     * @param listener receives the response
     */
    public InFlightRequest send(
            UpstreamInstance instance, FullHttpRequest request, String id, ResponseListener listener) {
        // Only the id tells the response to a request from a late one to an earlier request of its connection.
        Optional<UpstreamConnection> idle = id.isEmpty() ? Optional.empty() : acquireIdle(instance.id(), id);
        if (idle.isPresent()) {
            idle.get().send(request, id, listener);
            return idle.get();
        }
        return connect(instance, request, id, listener);
    }

    /**
     * Opens a connection to an instance and closes it without sending anything.
     *
     * @param instance the instance
     * @param listener receives the result
     */
    public void probe(UpstreamInstance instance, Consumer<ProbeResult> listener) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PROBE_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(instance.host(), instance.port());
        connecting.addListener(future -> {
            connecting.channel().close();
            listener.accept(ProbeResult.of(future));
        });
    }

    /** Returns whether there is an idle connection to an instance. */
    public boolean hasIdle(String instanceId) {
        return idleConnections.getOrDefault(instanceId, new ArrayDeque<>()).stream()
                .anyMatch(UpstreamConnection::isIdle);
    }

    private Optional<UpstreamConnection> acquireIdle(String instanceId, String id) {
        Deque<UpstreamConnection> connections = idleConnections.get(instanceId);
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection connection = connections.pollLast();
            // A duplicate response to an earlier send of the same request would match the id of this send.
            if (connection.isIdle() && !connection.mayRepeatResponseTo(id) && !isReuseSuspended(instanceId)) {
                return Optional.of(connection);
            }
            if (connection.isClosedEarly()) {
                contactLossListener.accept(instanceId);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private InFlightRequest connect(
            UpstreamInstance instance, FullHttpRequest request, String id, ResponseListener listener) {
        UpstreamConnection connection = new UpstreamConnection(this, instance);
        ConnectingRequest connecting = new ConnectingRequest(connection);
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
                                .addLast(connection.newByteInspector())
                                .addLast(connection.decoder())
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(instance.host(), instance.port())
                .addListener(future -> {
                    if (connecting.cancelled) {
                        request.release();
                        connection.close();
                    } else if (future.isSuccess() && !listener.maySend()) {
                        request.release();
                        connection.close();
                        listener.onFailure(ResponseListener.FailureKind.WITHDRAWN, "instance accepts nothing now");
                    } else if (future.isSuccess()) {
                        connection.send(request, id, listener);
                    } else {
                        request.release();
                        listener.onFailure(
                                ResponseListener.FailureKind.NOT_SENT, "connection failed: " + future.cause());
                    }
                });
        return connecting;
    }

    /** Sets the listener that gets what instances say in their responses about further requests. */
    public void setNoticeListener(EngineClient.NoticeListener listener) {
        noticeListener = listener;
    }

    /** Sets the listener that gets what instances send besides the responses to the requests in flight. */
    public void setAnomalyListener(ResponseAnomaly.Listener listener) {
        anomalyListener = listener;
    }

    /**
     * Sets the listener that gets the identifier of an instance whose connection ended under a request, or while idle
     * before its time.
     */
    public void setContactLossListener(Consumer<String> listener) {
        contactLossListener = listener;
    }

    /**
     * Reports an anomaly. If it has cost a response, the next requests to the instance get connections of their own,
     * because what an instance writes behind a response can only spoil the next one of the same connection.
     */
    void reportAnomaly(ResponseAnomaly anomaly, UpstreamInstance instance, String requestId, String detail) {
        anomalyListener.anomalyFound(anomaly, instance.id(), requestId, detail);
        if (anomaly.costsResponse()) {
            reuseSuspendedUntilMillis.put(instance.id(), Timestamp.monotonicNowMillis() + REUSE_SUSPENSION_MILLIS);
        }
    }

    private boolean isReuseSuspended(String instanceId) {
        return Timestamp.monotonicNowMillis() < reuseSuspendedUntilMillis.getOrDefault(instanceId, Long.MIN_VALUE);
    }

    /** Passes on a notice. A pause in a late response to an earlier request may be over and is not passed on. */
    void reportNotice(UpstreamInstance instance, ResponseNotice notice, boolean current) {
        if (current) {
            noticeListener.noticed(instance, notice);
        } else if (notice.leaving()) {
            noticeListener.noticed(instance, new ResponseNotice(true, OptionalLong.empty(), Optional.empty()));
        }
    }

    void release(UpstreamConnection connection) {
        if (connection.isIdle() && !isReuseSuspended(connection.instanceId())) {
            idleConnections
                    .computeIfAbsent(connection.instanceId(), key -> new ArrayDeque<>())
                    .addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Reports that a connection ended under a request, so that the instance may have restarted. */
    void reportContactLost(UpstreamConnection connection) {
        contactLossListener.accept(connection.instanceId());
    }

    void connectionClosed(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idleConnections.get(connection.instanceId());
        // A connection that this entry closes is removed from the queue before.
        if (connections != null && connections.remove(connection) && connection.isClosedEarly()) {
            contactLossListener.accept(connection.instanceId());
        }
    }

    /** Closes the idle connections to all instances except those with the given ids. */
    public void retainInstances(Set<String> instanceIds) {
        reuseSuspendedUntilMillis.keySet().retainAll(instanceIds);
        idleConnections.entrySet().removeIf(entry -> {
            if (instanceIds.contains(entry.getKey())) {
                return false;
            }
            // Closing a connection removes it from its queue, so the queue is copied and cleared first.
            Deque<UpstreamConnection> connections = new ArrayDeque<>(entry.getValue());
            entry.getValue().clear();
            connections.forEach(UpstreamConnection::close);
            return true;
        });
    }

    /** A request whose connection is not established yet. */
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
        public void setAutoRead(boolean enabled) {
            connection.setAutoRead(enabled);
        }
    }
}
