package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.transport.http.HttpExchange;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
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
        if (body != null) {
            return Optional.ofNullable(body.path(KEY_FIELD).textValue());
        }
        return isForm(exchange)
                ? formFields(exchange.body())
                        .filter(CallerCredentials::isKeyField)
                        .map(field -> decode(field.substring(field.indexOf('=') + 1)))
                        .findFirst()
                : Optional.empty();
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

    /**
     * Returns the body without the JSON field or form field that carries the key. A body without that field is passed
     * on byte by byte.
     */
    static byte[] forwardedBody(HttpExchange exchange, Optional<ObjectNode> object, byte[] bytes) {
        if (object.isPresent() && object.get().has(KEY_FIELD)) {
            ObjectNode copy = object.get().deepCopy();
            copy.remove(KEY_FIELD);
            return copy.toString().getBytes(StandardCharsets.UTF_8);
        }
        if (isForm(exchange) && formFields(bytes).anyMatch(CallerCredentials::isKeyField)) {
            return formFields(bytes)
                    .filter(field -> !isKeyField(field))
                    .collect(Collectors.joining("&"))
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
        return bytes;
    }

    private static boolean isForm(HttpExchange exchange) {
        return exchange.header("Content-Type")
                .map(type -> type.toLowerCase(Locale.ROOT).startsWith("application/x-www-form-urlencoded"))
                .orElse(false);
    }

    /** Returns the encoded fields. One byte is one character, so that a field that is passed on keeps its bytes. */
    private static Stream<String> formFields(byte[] bytes) {
        return Arrays.stream(new String(bytes, StandardCharsets.ISO_8859_1).split("&", -1));
    }

    private static boolean isKeyField(String field) {
        int equals = field.indexOf('=');
        return equals > 0 && decode(field.substring(0, equals)).equals(KEY_FIELD);
    }

    /** Decodes a name or value. One that is not encoded correctly cannot be a key and is returned as it is. */
    private static String decode(String encoded) {
        try {
            return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return encoded;
        }
    }
}
