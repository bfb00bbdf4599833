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

    private static final int LARGEST_LINE_BYTES = 8 << 10;
    private static final int LARGEST_HEADER_BYTES = 32 << 10;
    private static final int LARGEST_CHUNK_BYTES = 64 << 10;
    /** A connection in the same region opens within a few milliseconds; a lost first packet is sent again after 1 s. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** What the operating system holds of one answer that is not read, because its caller does not read either. */
    private static final int RECEIVE_BUFFER_BYTES = 256 << 10;

    private final EventLoop loop;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop of all connections
     */
    public UpstreamPool(EventLoop loop) {
        this.loop = loop;
    }

    /** A send that is under way. */
    public interface Sending {

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
        void reading(boolean reads);
    }

    /**
     * Sends a request once.
     *
     * @param instance the instance
     * @param request the request, which the pool releases
     * @param id the identifier that the answer must carry
     * @param attempt receives what comes of it
     */
    public Sending send(UpstreamInstance instance, FullHttpRequest request, String id, Attempt attempt) {
        Optional<UpstreamConnection> kept = takeIdle(instance.id(), id);
        if (kept.isPresent()) {
            kept.get().send(request, id, attempt);
            return kept.get();
        }
        return connect(instance, request, id, attempt);
    }

    private Optional<UpstreamConnection> takeIdle(String instance, String id) {
        Deque<UpstreamConnection> connections = idle.get(instance);
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection connection = connections.pollLast();
            // A second copy of the answer to an earlier send of the same request would be taken for the answer to this
            // one.
            if (connection.idle() && !connection.served(id)) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private Sending connect(UpstreamInstance instance, FullHttpRequest request, String id, Attempt attempt) {
        UpstreamConnection connection = new UpstreamConnection(this, instance.id());
        Opening opening = new Opening(connection);
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
                                        LARGEST_LINE_BYTES, LARGEST_HEADER_BYTES, LARGEST_CHUNK_BYTES))
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
                        attempt.broken(Attempt.Break.NOT_SENT, "no connection: " + future.cause());
                    }
                });
        return opening;
    }

    void release(UpstreamConnection connection) {
        if (connection.idle()) {
            idle.computeIfAbsent(connection.instance(), key -> new ArrayDeque<>())
                    .addLast(connection);
        } else {
            connection.close();
        }
    }

    void closed(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections = idle.get(connection.instance());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /** Closes the idle connections of all instances but some. */
    public void retain(Set<String> instances) {
        idle.entrySet().removeIf(entry -> {
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
    private static final class Opening implements Sending {

        private final UpstreamConnection connection;
        private boolean cancelled;

        Opening(UpstreamConnection connection) {
            this.connection = connection;
        }

        @Override
        public boolean cancel() {
            cancelled = true;
            return connection.cancel();
        }

        @Override
        public void reading(boolean reads) {
            connection.reading(reads);
        }
    }
}
