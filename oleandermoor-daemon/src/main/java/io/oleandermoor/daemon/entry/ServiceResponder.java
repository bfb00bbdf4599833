package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.Body;
import io.oleandermoor.state.ledger.HeaderField;
import io.oleandermoor.state.ledger.StoredResponse;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Passes the answer of a plain service on. */
final class ServiceResponder implements Responder {

    /** Header that marks the answer of an earlier call with the same idempotency key. */
    static final String REPLAYED_HEADER = "Idempotent-Replayed";

    private final HttpExchange exchange;

    ServiceResponder(HttpExchange exchange) {
        this.exchange = exchange;
    }

    static HttpResponse toResponse(int status, List<HeaderField> fields, Body body) {
        Map<String, String> headers = new HashMap<>();
        fields.forEach(field -> headers.put(field.name(), field.value()));
        return new HttpResponse(status, headers, body.bytes());
    }

    @Override
    public void text(String text) {
        throw new IllegalStateException("a plain service does not stream");
    }

    @Override
    public void finished(AttemptResult result, long promptTokens, long generatedTokens) {
        exchange.respond(toResponse(result.status(), result.headers(), result.body()));
    }

    @Override
    public void replay(StoredResponse answer) {
        HttpResponse stored = toResponse(answer.status(), answer.headers(), answer.body());
        Map<String, String> headers = new HashMap<>(stored.headers());
        headers.put(REPLAYED_HEADER, answer.bodyOmitted() ? "true; body omitted" : "true");
        exchange.respond(new HttpResponse(stored.status(), headers, stored.body()));
    }

    @Override
    public void failed(CallerError error) {
        exchange.respond(error.toResponse());
    }
}
