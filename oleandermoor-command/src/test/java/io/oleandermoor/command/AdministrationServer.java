package io.oleandermoor.command;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.oleandermoor.daemon.administration.AdministrationApi;
import io.oleandermoor.daemon.administration.AdministrationRequest;
import io.oleandermoor.daemon.administration.AdministrationResponse;
import io.oleandermoor.daemon.administration.ConfigurationService;
import io.oleandermoor.daemon.administration.ProcessStatus;
import io.oleandermoor.daemon.administration.SubmitResult;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.KeyHash;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The admin API over HTTP on a configuration in memory. Can lose changes and answers. */
final class AdministrationServer implements ConfigurationService, AutoCloseable {

    static final String CREDENTIAL = "credential";

    private final HttpServer http;
    private final AdministrationApi api = new AdministrationApi(this, KeyHash.of(CREDENTIAL), 100_000);
    private final Map<String, Long> accepted = new HashMap<>();
    private Configuration configuration = Configuration.empty();
    private int answersToLose;
    private int changesToLose;

    AdministrationServer() throws IOException {
        http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        http.createContext("/", this::handle);
        http.start();
    }

    String address() {
        return "127.0.0.1:" + http.getAddress().getPort();
    }

    /** Closes the connection instead of answering, after the request took effect. */
    synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /** Closes the connection before the request takes effect. */
    synchronized void loseChanges(int count) {
        changesToLose = count;
    }

    @Override
    public synchronized SubmitResult submit(ChangeRequest request) {
        Long earlier = accepted.get(request.changeSet().changeId());
        if (earlier != null) {
            return new SubmitResult.Accepted(earlier);
        }
        if (request.expectedVersion().isPresent() && request.expectedVersion().getAsLong() != configuration.version()) {
            return new SubmitResult.Conflict(configuration.version());
        }
        try {
            configuration = configuration.apply(request.changeSet());
        } catch (InvalidInputException exception) {
            return new SubmitResult.Rejected(exception.findings());
        }
        accepted.put(request.changeSet().changeId(), configuration.version());
        return new SubmitResult.Accepted(configuration.version());
    }

    @Override
    public synchronized Configuration current() {
        return configuration;
    }

    @Override
    public synchronized OptionalLong find(String changeId) {
        Long version = accepted.get(changeId);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    @Override
    public synchronized List<ProcessStatus> status() {
        return List.of(
                new ProcessStatus("entry-1", "entry", "domain-1", "READY", configuration.version()),
                new ProcessStatus("agent-1", "agent", "domain-1", "READY", 0));
    }

    @Override
    public void close() {
        http.stop(0);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (changesToLose > 0) {
            changesToLose--;
            throw new IOException("the change is lost");
        }
        AdministrationResponse response = api.handle(new AdministrationRequest(
                exchange.getRequestMethod(),
                exchange.getRequestURI().getPath(),
                Optional.ofNullable(exchange.getRequestHeaders().getFirst("Authorization")),
                body));
        if (answersToLose > 0) {
            answersToLose--;
            throw new IOException("the answer is lost");
        }
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
