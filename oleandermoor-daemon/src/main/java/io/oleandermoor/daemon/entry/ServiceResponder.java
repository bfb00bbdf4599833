package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.Finished;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;

/** Passes the answer of a plain service on. */
final class ServiceResponder implements Responder {

    private final HttpExchange exchange;

    ServiceResponder(HttpExchange exchange) {
        this.exchange = exchange;
    }

    static HttpResponse toResponse(Finished finished) {
        Map<String, String> headers = new HashMap<>();
        for (Header header : finished.getHeadersList()) {
            headers.put(header.getName(), header.getValue());
        }
        return new HttpResponse(
                finished.getStatus(), headers, finished.getBody().toByteArray());
    }

    @Override
    public void text(String text) {
        throw new IllegalStateException("a plain service does not stream");
    }

    @Override
    public void finished(Finished finished, long promptTokens, long generatedTokens) {
        exchange.respond(toResponse(finished));
    }

    @Override
    public void failed(CallerError error) {
        exchange.respond(error.toResponse());
    }
}
