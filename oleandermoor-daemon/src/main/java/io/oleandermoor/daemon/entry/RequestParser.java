package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.oleandermoor.protocol.message.CallKind;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.protocol.message.RequestClass;
import io.oleandermoor.state.configuration.Adapter;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Route;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.FailureDomain;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.routing.PromptPrefix;
import io.oleandermoor.state.routing.RouteQuery;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.json.ExactJson;
import io.oleandermoor.transport.settings.EntrySettings;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Checks the requests of callers against the configuration in force. Safe for use by several threads. */
final class RequestParser {

    static final String COMPLETIONS_PATH = "/v1/chat/completions";

    static final String CLASS_HEADER = "X-Request-Class";

    static final String TIMEOUT_HEADER = "X-Request-Timeout-Ms";

    static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

    static final long LARGEST_TIMEOUT_MILLIS = EntrySettings.LARGEST_REQUEST_TIME.toMillis();

    private static final int LONGEST_IDEMPOTENCY_KEY = 255;

    private final Supplier<Configuration> configuration;

    private final BooleanSupplier keysUsable;

    private final Predicate<KeyHash> revoked;

    private final FailureDomain home;

    private final LongSupplier nowMillis;

    private final Supplier<RequestId> ids;

    private final long timeLimitMillis;

    RequestParser(
            Supplier<Configuration> configuration,
            BooleanSupplier keysUsable,
            Predicate<KeyHash> revoked,
            FailureDomain home,
            LongSupplier nowMillis,
            Supplier<RequestId> ids,
            long timeLimitMillis) {
        this.configuration = configuration;
        this.keysUsable = keysUsable;
        this.revoked = revoked;
        this.home = home;
        this.nowMillis = nowMillis;
        this.ids = ids;
        this.timeLimitMillis = timeLimitMillis;
    }

    /** Checks a chat completion. */
    Parsed parseCompletion(HttpExchange exchange) throws RefusedException {
        Configuration current = configuration.get();
        requireJson(exchange);
        ObjectNode body = CompletionRequest.parseBody(exchange.body());
        ApiKey key = authenticate(current, CallerCredentials.find(exchange, body));
        CompletionRequest completion = CompletionRequest.of(body);
        byte[] content = completion.body().toString().getBytes(StandardCharsets.UTF_8);
        Target target = target(current, completion.target());
        RouteQuery query = target.query(home)
                .withPrefix(PromptPrefix.of(
                        completion.target(),
                        completion.body().path("messages").toString().getBytes(StandardCharsets.UTF_8)));
        long tokens = completion.promptTokens() + completion.maximumTokens();
        Dispatch dispatch = Dispatch.newBuilder()
                .setTeam(key.team().value())
                .setTeamWeight(weight(current, key))
                .setRequestClass(requestClass(exchange))
                .setKind(CallKind.COMPLETION)
                .setModel(target.model.value())
                .setAdapter(target.adapter.map(AdapterName::value).orElse(""))
                .setRepeatable(true)
                .setMaximumTokens(completion.maximumTokens())
                .setPromptTokens((int) Math.min(Integer.MAX_VALUE, completion.promptTokens()))
                .setFingerprint(fingerprint(key.team().value(), completion.target(), content))
                .setCall(HttpCall.newBuilder()
                        .setMethod("POST")
                        .setPath(COMPLETIONS_PATH)
                        .setBody(ByteString.copyFrom(content)))
                .build();
        CallerRequest request = new CallerRequest(
                ids.get(), Optional.of(key), query, dispatch, tokens, deadline(exchange), Optional.empty());
        return new Parsed(request, completion.stream(), completion.target());
    }

    /** Checks a call of a plain service. */
    Parsed parseCall(HttpExchange exchange) throws RefusedException {
        Configuration current = configuration.get();
        Route route = current.route(exchange.method(), exchange.path())
                .orElseThrow(() -> new RefusedException(CallerError.notRun(
                        404, "unknown_route", "no route for " + exchange.method() + " " + exchange.path())));
        byte[] bytes = exchange.body();
        if (bytes.length > route.maximumBodyBytes()) {
            throw new RefusedException(CallerError.notRun(
                    413, "body_too_large", "the body has more than " + route.maximumBodyBytes() + " bytes"));
        }
        Optional<ObjectNode> body = jsonObject(exchange, bytes);
        Optional<String> credential = CallerCredentials.find(exchange, body.orElse(null));
        Optional<ApiKey> key =
                route.access().isKeyRequired() ? Optional.of(authenticate(current, credential)) : Optional.empty();
        String team = key.map(value -> value.team().value()).orElse(CallerRequest.OPEN);
        Optional<String> idempotencyKey = idempotencyKey(exchange, route);
        byte[] forwarded = CallerCredentials.forwardedBody(exchange, body, bytes);
        HttpCall call = call(exchange, credential, forwarded);
        Dispatch dispatch = Dispatch.newBuilder()
                .setTeam(team)
                .setTeamWeight(key.map(value -> weight(current, value)).orElse(1L))
                .setRequestClass(requestClass(exchange))
                .setKind(CallKind.SERVICE)
                .setModel(route.service().value())
                .setRepeatable(route.repeatability().isRetryAllowed())
                .setFingerprint(fingerprint(team, call.getMethod() + " " + call.getPath(), forwarded))
                .setCall(call)
                .build();
        boolean once = !route.repeatability().isRetryAllowed();
        Optional<String> onceKey = idempotencyKey
                .filter(value -> once)
                .map(value -> "once/" + team + "/" + route.name() + "/"
                        + KeyHash.of(value).value());
        CallerRequest request = new CallerRequest(
                ids.get(), key, RouteQuery.forService(route.service(), home), dispatch, 0, deadline(exchange), onceKey);
        return new Parsed(request, false, route.service().value());
    }

    private ApiKey authenticate(Configuration current, Optional<String> credential) throws RefusedException {
        if (!keysUsable.getAsBoolean()) {
            throw new RefusedException(
                    CallerError.notRun(503, "keys_unconfirmed", "revoked keys cannot be told apart at present")
                            .retryAfter(1_000));
        }
        String text = credential.orElseThrow(
                () -> new RefusedException(CallerError.notRun(401, "key_missing", "a key is needed")));
        return current.key(KeyHash.of(text))
                .filter(key -> !revoked.test(key.hash()))
                .orElseThrow(() -> new RefusedException(
                        CallerError.notRun(401, "key_invalid", "the key is not valid or was revoked")));
    }

    /** Teams share a contended upstream in proportion to their rates and weights. */
    private static long weight(Configuration current, ApiKey key) {
        return current.team(key.team()).map(Team::queueWeight).orElse(1L);
    }

    private static Target target(Configuration current, String name) throws RefusedException {
        if (Identifiers.isValid(name)) {
            Optional<Adapter> adapter = current.adapter(new AdapterName(name));
            if (adapter.isPresent()) {
                return new Target(
                        adapter.get().model(), Optional.of(adapter.get().name()));
            }
            if (current.model(new ModelName(name)).isPresent()) {
                return new Target(new ModelName(name), Optional.empty());
            }
        }
        throw new RefusedException(CallerError.notRun(404, "unknown_model", "no model or adapter '" + name + "'"));
    }

    private static void requireJson(HttpExchange exchange) throws RefusedException {
        String type = exchange.header("Content-Type").orElse("");
        if (!type.toLowerCase(Locale.ROOT).startsWith("application/json")) {
            throw new RefusedException(
                    CallerError.notRun(415, "unsupported_media_type", "Content-Type must be application/json"));
        }
    }

    private static Optional<ObjectNode> jsonObject(HttpExchange exchange, byte[] bytes) {
        String type = exchange.header("Content-Type").orElse("");
        if (!type.toLowerCase(Locale.ROOT).startsWith("application/json")) {
            return Optional.empty();
        }
        try {
            return ExactJson.MAPPER.readTree(bytes) instanceof ObjectNode object
                    ? Optional.of(object)
                    : Optional.empty();
        } catch (java.io.IOException exception) {
            // The body of a plain service is its own business; it is passed on as it is.
            return Optional.empty();
        }
    }

    private static RequestClass requestClass(HttpExchange exchange) throws RefusedException {
        String text = exchange.header(CLASS_HEADER).orElse("live").toLowerCase(Locale.ROOT);
        return switch (text) {
            case "live" -> RequestClass.LIVE;
            case "batch" -> RequestClass.BATCH;
            default ->
                throw new RefusedException(
                        CallerError.notRun(400, "invalid_request", CLASS_HEADER + " must be 'live' or 'batch'"));
        };
    }

    private long deadline(HttpExchange exchange) throws RefusedException {
        Optional<String> header = exchange.header(TIMEOUT_HEADER);
        long millis = Math.min(DEFAULT_TIMEOUT_MILLIS, timeLimitMillis);
        if (header.isPresent()) {
            millis = header.get().matches("[0-9]{1,9}") ? Long.parseLong(header.get()) : 0;
        }
        if (millis < 1 || millis > timeLimitMillis) {
            throw new RefusedException(CallerError.notRun(
                    400, "invalid_request", TIMEOUT_HEADER + " must be a whole number from 1 to " + timeLimitMillis));
        }
        return nowMillis.getAsLong() + millis;
    }

    private static Optional<String> idempotencyKey(HttpExchange exchange, Route route) throws RefusedException {
        Optional<String> key = exchange.header(IDEMPOTENCY_HEADER).filter(value -> !value.isBlank());
        if (key.isEmpty() && route.idempotencyKeyRequired()) {
            throw new RefusedException(CallerError.notRun(
                    400, "idempotency_key_missing", "this route needs the header " + IDEMPOTENCY_HEADER));
        }
        if (key.isPresent() && key.get().length() > LONGEST_IDEMPOTENCY_KEY) {
            throw new RefusedException(CallerError.notRun(
                    400,
                    "invalid_request",
                    IDEMPOTENCY_HEADER + " has more than " + LONGEST_IDEMPOTENCY_KEY + " characters"));
        }
        return key;
    }

    private static HttpCall call(HttpExchange exchange, Optional<String> credential, byte[] body) {
        HttpCall.Builder call = HttpCall.newBuilder()
                .setMethod(exchange.method())
                .setPath(exchange.path() + query(CallerCredentials.forwardedQuery(exchange, credential)))
                .setBody(ByteString.copyFrom(body));
        CallerCredentials.forwardedHeaders(exchange, credential)
                .forEach((name, value) ->
                        call.addHeaders(Header.newBuilder().setName(name).setValue(value)));
        return call.build();
    }

    private static String query(Map<String, String> parameters) {
        StringBuilder query = new StringBuilder();
        parameters.forEach((name, value) -> query.append(query.isEmpty() ? '?' : '&')
                .append(URLEncoder.encode(name, StandardCharsets.UTF_8))
                .append('=')
                .append(URLEncoder.encode(value, StandardCharsets.UTF_8)));
        return query.toString();
    }

    private static ByteString fingerprint(String team, String target, byte[] content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((team + "\n" + target + "\n").getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(digest.digest(content));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform provides SHA-256", exception);
        }
    }

    /**
     * A checked request.
     *
     * @param request the request
     * @param stream whether the caller wants server-sent events
     * @param name the name of the model, adapter or service that the caller asked for
     */
    record Parsed(CallerRequest request, boolean stream, String name) {}

    private record Target(ModelName model, Optional<AdapterName> adapter) {

        RouteQuery query(FailureDomain home) {
            return adapter.map(name -> RouteQuery.forAdapter(name, model, home))
                    .orElseGet(() -> RouteQuery.forModel(model, home));
        }
    }
}
