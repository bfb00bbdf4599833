package io.oleandermoor.daemon.entry;

import io.oleandermoor.daemon.entry.RequestParser.Parsed;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpHandler;
import java.util.function.BooleanSupplier;

/** Answers callers: chat completions and calls of plain services. */
final class CallerApi implements HttpHandler {

    /** A place becomes free whenever any request ends, so a short wait is enough. */
    private static final long FULL_RETRY_MILLIS = 1_000;

    private final RequestParser parser;

    private final RequestTable requests;

    private final EntryServices services;

    private final BooleanSupplier accepting;

    CallerApi(RequestParser parser, RequestTable requests, EntryServices services, BooleanSupplier accepting) {
        this.parser = parser;
        this.requests = requests;
        this.services = services;
        this.accepting = accepting;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            if (!accepting.getAsBoolean()) {
                throw new RefusedException(CallerError.notRun(503, "stopping", "this entry is stopping")
                        .retryAfter(1));
            }
            enter(exchange);
        } catch (RefusedException refused) {
            services.metrics().refused("unknown", refused.error().code());
            exchange.respond(refused.error().toResponse());
        }
    }

    /** Starts a request if one more may be in flight. This is decided first, so that overload costs no parsing. */
    private void enter(HttpExchange exchange) throws RefusedException {
        if (!requests.tryEnter()) {
            throw new RefusedException(CallerError.notRun(
                            503, "too_many_requests", "this entry has as many requests in flight as it may have")
                    .retryAfter(FULL_RETRY_MILLIS));
        }
        boolean started = false;
        try {
            if (exchange.path().startsWith("/v1/")) {
                complete(exchange);
            } else {
                requests.start(call(exchange), new ServiceResponder(exchange), services);
            }
            started = true;
        } finally {
            if (!started) {
                requests.leave();
            }
        }
    }

    private CallerRequest call(HttpExchange exchange) throws RefusedException {
        return parser.parseCall(exchange).request();
    }

    private void complete(HttpExchange exchange) throws RefusedException {
        if (!exchange.path().equals(RequestParser.COMPLETIONS_PATH)) {
            throw new RefusedException(CallerError.notRun(404, "unknown_route", "no route for " + exchange.path()));
        }
        if (!exchange.method().equals("POST")) {
            throw new RefusedException(CallerError.notRun(405, "method_not_allowed", "the method must be POST"));
        }
        Parsed parsed = parser.parseCompletion(exchange);
        CallerRequest request = parsed.request();
        String id = request.id().toString();
        Responder responder = parsed.stream()
                ? new StreamResponder(exchange, id, parsed.name(), () -> requests.callerGone(request.id()))
                : new CollectResponder(exchange, id, parsed.name());
        requests.start(request, responder, services);
    }
}
