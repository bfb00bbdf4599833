package io.oleandermoor.standin.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import io.oleandermoor.transport.http.HttpServer;
import io.oleandermoor.transport.http.JoobyHttpServer;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A plain service that counts what it ran. It knows no idempotency keys, as a system behind a proxy often does not.
 *
 * <p>{@code POST /stand-in/faults} sets a {@link ServiceFaults}; {@code GET /stand-in/calls} lists the calls that ran,
 * each with its method, path, body and headers.
 */
public final class ServiceStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    private static final long SEED = 5;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private volatile ServiceFaults faults = ServiceFaults.NONE;

    private final List<Call> calls = new ArrayList<>();

    private final SplittableRandom random = new SplittableRandom(SEED);

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "service-calls");
        thread.setDaemon(true);
        return thread;
    });

    private final Runnable onCrash;

    private final HttpServer server;

    /**
     * Starts the stand-in.
     *
     * @param address the address to listen on as {@code ip:port}
     * @param onCrash called when a call is to crash the service; ends the process
     * @throws IOException if the address cannot be bound
     */
    public ServiceStandIn(String address, Runnable onCrash) throws IOException {
        this.onCrash = onCrash;
        server = JoobyHttpServer.start(Address.parse(address).toSocketAddress(), MAXIMUM_BODY_BYTES, this::handle);
    }

    /**
     * Returns the calls that ran.
     *
     * @return a copy, in the order in which they ran
     */
    public synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    /**
     * Sets the failures from now on.
     *
     * @param next the failures
     */
    public void setFaults(ServiceFaults next) {
        faults = next;
    }

    @Override
    public void close() {
        executor.shutdownNow();
        server.close();
    }

    private void handle(HttpExchange exchange) {
        try {
            if (exchange.path().equals("/stand-in/faults")) {
                faults = MAPPER.readValue(exchange.body(), ServiceFaults.class);
                exchange.respond(HttpResponse.text(200, "ok\n"));
            } else if (exchange.path().equals("/stand-in/calls")) {
                exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(calls())));
            } else {
                Call call = new Call(
                        exchange.method(),
                        exchange.path(),
                        exchange.query(),
                        new String(exchange.body(), StandardCharsets.UTF_8),
                        exchange.headers());
                schedule(exchange, call);
            }
        } catch (IOException exception) {
            exchange.respond(HttpResponse.text(400, "bad request\n"));
        }
    }

    private void schedule(HttpExchange exchange, Call call) {
        int delayMillis = faults.delayMillis();
        if (delayMillis == 0) {
            run(exchange, call);
            return;
        }
        var unused = executor.schedule(() -> run(exchange, call), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void run(HttpExchange exchange, Call call) {
        int number;
        boolean answerLost;
        ServiceFaults current = faults;
        synchronized (this) {
            calls.add(call);
            number = calls.size();
            answerLost = current.silent() || random.nextDouble() < current.loseAnswers();
        }
        if (!current.crashOnText().isEmpty() && call.body().contains(current.crashOnText())) {
            onCrash.run();
        }
        if (!answerLost) {
            exchange.respond(HttpResponse.json(
                    200, "{\"accepted\":true,\"number\":" + number + ",\"path\":\"" + call.path() + "\"}"));
        }
    }

    /**
     * A call that ran.
     *
     * @param method the method
     * @param path the path
     * @param query the query parameters
     * @param body the body as text
     * @param headers the headers
     */
    public record Call(
            String method, String path, Map<String, String> query, String body, Map<String, String> headers) {}
}
