package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.transport.http.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Finds the key in a request and removes it, wherever it may be, before the request is passed on. */
final class CallerCredentials {

    static final String KEY_FIELD = "api_key";

    private static final String BEARER = "Bearer ";

    /** Headers that end at the entry: credentials, and headers that belong to the caller's own connection. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "proxy-authorization",
            "x-api-key",
            "api-key",
            "cookie",
            "host",
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "upgrade",
            "transfer-encoding",
            "content-length",
            "accept-encoding",
            "expect");

    private static final List<String> KEY_HEADERS = List.of("x-api-key", "api-key");

    private CallerCredentials() {}

    static Optional<String> find(HttpExchange exchange, @Nullable ObjectNode body) {
        Optional<String> authorization = exchange.header("Authorization");
        if (authorization.isPresent() && authorization.get().regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.of(authorization.get().substring(BEARER.length()).trim());
        }
        for (String name : KEY_HEADERS) {
            Optional<String> value = exchange.header(name);
            if (value.isPresent()) {
                return value;
            }
        }
        String parameter = exchange.query().get(KEY_FIELD);
        if (parameter != null) {
            return Optional.of(parameter);
        }
        return body == null
                ? Optional.empty()
                : Optional.ofNullable(body.path(KEY_FIELD).textValue());
    }

    static Map<String, String> forwardedHeaders(HttpExchange exchange, Optional<String> key) {
        Map<String, String> headers = new HashMap<>();
        exchange.headers().forEach((name, value) -> {
            boolean carriesKey = key.isPresent() && value.contains(key.get());
            if (!carriesKey && !NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
                headers.put(name, value);
            }
        });
        return headers;
    }

    static Map<String, String> forwardedQuery(HttpExchange exchange, Optional<String> key) {
        Map<String, String> query = new LinkedHashMap<>();
        exchange.query().forEach((name, value) -> {
            boolean carriesKey = key.isPresent() && value.contains(key.get());
            if (!carriesKey && !name.equals(KEY_FIELD)) {
                query.put(name, value);
            }
        });
        return query;
    }

    /** Returns the body without the field that carries the key. A body without that field is passed on byte by byte. */
    static byte[] forwardedBody(Optional<ObjectNode> object, byte[] bytes) {
        if (object.isEmpty() || !object.get().has(KEY_FIELD)) {
            return bytes;
        }
        ObjectNode copy = object.get().deepCopy();
        copy.remove(KEY_FIELD);
        return copy.toString().getBytes(StandardCharsets.UTF_8);
    }
}
