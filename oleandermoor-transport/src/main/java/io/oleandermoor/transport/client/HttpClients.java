package io.oleandermoor.transport.client;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/** Creates HTTP clients with the settings that all of them share. */
public final class HttpClients {

    private static final int MAXIMUM_CONCURRENT_REQUESTS = 4096;

    /**
     * HTTP/1.1 responses name no request, so a late one on a kept connection would count as that to the next request.
     */
    private static final int IDLE_CONNECTIONS = 0;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Required by the pool; without effect while it keeps no connection. */
    private static final Duration KEEP_ALIVE = Duration.ofMinutes(1);

    private HttpClients() {}

    /**
     * Creates a client that never repeats a request by itself: whether a request may run twice is decided elsewhere.
     * Each request has a connection of its own. A response whose end is not certain fails its request.
     *
     * @param readTimeout longest silence of the other side
     * @return the client
     */
    public static OkHttpClient create(Duration readTimeout) {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_REQUESTS);
        return new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE.toMillis(), TimeUnit.MILLISECONDS))
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(readTimeout)
                .writeTimeout(readTimeout)
                .addNetworkInterceptor(new ResponseFramingInterceptor())
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .build();
    }
}
