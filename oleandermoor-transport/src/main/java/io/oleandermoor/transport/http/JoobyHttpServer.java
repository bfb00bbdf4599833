package io.oleandermoor.transport.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.exception.StatusCodeException;
import io.jooby.netty.NettyServer;
import io.oleandermoor.transport.log.LogEvent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** An HTTP server on Jooby with Netty. */
public final class JoobyHttpServer implements HttpServer {

    private static final Logger LOGGER = LogManager.getLogger(JoobyHttpServer.class);

    private static final List<String> METHODS = List.of("GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS");

    private static final int EVENT_LOOPS = 2;

    private static final long CLOSE_LIMIT_NANOS = 3_000_000_000L;

    private static final long CLOSE_POLL_NANOS = 2_000_000;

    private final NettyServer server;

    private final InetSocketAddress address;

    private JoobyHttpServer(NettyServer server, InetSocketAddress address) {
        this.server = server;
        this.address = address;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on
     * @param maximumBodyBytes the largest body of a request; a larger one is answered with status 413
     * @param handler answers all requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static JoobyHttpServer start(InetSocketAddress address, int maximumBodyBytes, HttpHandler handler)
            throws IOException {
        return start(address, maximumBodyBytes, new ConnectionLimit(Integer.MAX_VALUE), handler);
    }

    /**
     * Starts a server with a limited number of connections.
     *
     * @param address the address to listen on
     * @param maximumBodyBytes the largest body of a request; a larger one is answered with status 413
     * @param connections counts the connections and refuses further ones with status 503
     * @param handler answers all requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static JoobyHttpServer start(
            InetSocketAddress address, int maximumBodyBytes, ConnectionLimit connections, HttpHandler handler)
            throws IOException {
        ConnectionExtension.enable();
        checkFree(address);
        ConnectionExtension.limit(address.getPort(), connections);
        ServerOptions options = new ServerOptions();
        options.setHost(address.getAddress().getHostAddress());
        options.setPort(address.getPort());
        options.setIoThreads(EVENT_LOOPS);
        options.setWorkerThreads(1);
        options.setDefaultHeaders(false);
        options.setMaxRequestSize(maximumBodyBytes);
        // Bodies above the buffer size would go to a temporary file; the instances have no disks.
        options.setBufferSize(maximumBodyBytes);
        Jooby application = new Jooby();
        application.setServerOptions(options);
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        for (String method : METHODS) {
            application.route(method, "/*", context -> {
                handler.handle(new JoobyHttpExchange(context));
                return context;
            });
        }
        application.error((context, cause, status) -> answerError(context, cause, status.value()));
        NettyServer server = new ServerWithoutShutdownHook(Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "http-worker");
            thread.setDaemon(true);
            return thread;
        }));
        server.setOptions(options);
        server.start(application);
        return new JoobyHttpServer(server, address);
    }

    @Override
    public int port() {
        return address.getPort();
    }

    @Override
    public void close() {
        // Stopping only the application would leave the port and all connections open.
        server.stop();
        // Netty closes them in the background; a caller may want to listen on the port again.
        long until = System.nanoTime() + CLOSE_LIMIT_NANOS;
        while (!isFree() && System.nanoTime() < until) {
            LockSupport.parkNanos(CLOSE_POLL_NANOS);
        }
    }

    private boolean isFree() {
        try {
            checkFree(address);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    /**
     * Leaves the stop to the daemon. The hook of Jooby closes all connections at the signal, beside the graceful stop
     * that waits for the requests under way.
     */
    private static final class ServerWithoutShutdownHook extends NettyServer {

        ServerWithoutShutdownHook(ExecutorService worker) {
            super(worker);
        }

        @Override
        protected void addShutdownHook() {
            // See the class comment.
        }
    }

    /** Jooby reports a port in use only in its log, so the address is tried before. */
    private static void checkFree(InetSocketAddress address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(
                    InetAddress.getByAddress(address.getAddress().getAddress()), address.getPort()));
        } catch (IOException exception) {
            throw new IOException("cannot listen on " + address + ": " + exception.getMessage(), exception);
        }
    }

    private static void answerError(Context context, Throwable cause, int status) {
        if (!(cause instanceof StatusCodeException)) {
            LOGGER.warn(LogEvent.of("http_error").with("status", status), cause);
        }
        context.setResponseCode(status);
        context.setResponseHeader(HttpResponse.CONTENT_TYPE, "application/json");
        String code = status == 413 ? "body_too_large" : "bad_request";
        context.send("{\"error\":{\"code\":\"" + code + "\",\"message\":\"the request was not accepted, status "
                + status + "\",\"outcome\":\"not_run\"}}");
    }
}
