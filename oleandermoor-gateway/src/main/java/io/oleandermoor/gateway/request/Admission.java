package io.oleandermoor.gateway.request;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.CallerRequest;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamService;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.Optional;

/** Decides whether a request may be served at all: route, key and rate. Used on the event loop only. */
final class Admission {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;
    private static final long LEAST_RETRY_MILLIS = 100;
    private static final long LARGEST_RETRY_MILLIS = 10_000;
    /** 2 to the power of 53: the numbers that a double holds without gaps. */
    private static final double DRAW_RANGE = 0x1.0p53;

    private final RequestDesk desk;

    Admission(RequestDesk desk) {
        this.desk = desk;
    }

    /** Answers the request, or starts an exchange that will. Takes over the request. */
    Optional<Exchange> admit(FullHttpRequest request, AnswerSink sink) {
        CallerRequest caller;
        try {
            caller = RequestHeaders.decode(request);
        } catch (DecodeException exception) {
            desk.log().decided("malformed", "cause=\"{}\"", String.valueOf(exception.getMessage()));
            return refuse(request, sink, BAD_REQUEST, "", 0);
        }
        Optional<FleetDocument> document = desk.view().document();
        if (document.isEmpty() || !desk.view().canServe(Long.MAX_VALUE)) {
            return unavailable(request, sink, caller, "not_ready");
        }
        Optional<HostRoute> route = document.get().route(caller.host(), caller.path());
        if (route.isEmpty()) {
            desk.log()
                    .decided(
                            "no_route",
                            "request={} version={}",
                            caller.id(),
                            document.get().version());
            return refuse(request, sink, NOT_FOUND, caller.id(), 0);
        }
        boolean open = route.get().traits().anonymousAllowed();
        // A version that is not confirmed may have lost a key since; requests on open routes need none.
        if (!open && desk.view().confirmationAgeMillis() >= desk.rules().keyLimitMillis()) {
            return unavailable(request, sink, caller, "keys_not_confirmed");
        }
        Optional<TeamLimits> team = caller.apiKey().flatMap(document.get()::teamOfKey);
        if (team.isEmpty() && !open) {
            desk.log()
                    .decided(
                            "unknown_key",
                            "request={} version={}",
                            caller.id(),
                            document.get().version());
            return refuse(request, sink, UNAUTHORIZED, caller.id(), 0);
        }
        if (!withinRate(team, caller)) {
            return overRate(request, sink, caller, team.get());
        }
        String service = route.get().serviceFor(draw(caller.id()));
        boolean engine =
                document.get().service(service).flatMap(UpstreamService::engine).isPresent();
        Optional<ModelTarget> target = engine ? caller.target() : Optional.empty();
        Exchange exchange = new Exchange(desk, sink, request, new Admitted(caller, route.get(), team, service, target));
        exchange.start();
        return Optional.of(exchange);
    }

    private static double draw(String id) {
        long mixed = id.hashCode() * 0x9E3779B97F4A7C15L;
        return (mixed >>> 11) / DRAW_RANGE;
    }

    private boolean withinRate(Optional<TeamLimits> team, CallerRequest caller) {
        if (team.isEmpty() || !team.get().rateLimited()) {
            return true;
        }
        desk.view().refill();
        return desk.view()
                .bucket(team.get().name())
                .map(bucket -> bucket.tryConsume(team.get().chargedTokens(caller.declaredTokens())))
                .orElse(true);
    }

    private Optional<Exchange> overRate(
            FullHttpRequest request, AnswerSink sink, CallerRequest caller, TeamLimits team) {
        long tokens = team.chargedTokens(caller.declaredTokens());
        Optional<SharedTokenBucket> bucket = desk.view().bucket(team.name());
        long wait = bucket.map(each -> each.millisUntilAvailable(tokens)).orElse(LEAST_RETRY_MILLIS);
        desk.log()
                .decided(
                        "over_rate",
                        "request={} team={} tokens={} level={} rate={} silent={}",
                        caller.id(),
                        team.name(),
                        tokens,
                        bucket.map(each -> (long) each.level()).orElse(0L),
                        team.ratePerSecond(),
                        desk.view().silentPeers());
        return refuse(
                request,
                sink,
                TOO_MANY,
                caller.id(),
                Math.max(LEAST_RETRY_MILLIS, Math.min(LARGEST_RETRY_MILLIS, wait)));
    }

    private Optional<Exchange> unavailable(
            FullHttpRequest request, AnswerSink sink, CallerRequest caller, String reason) {
        desk.log()
                .decided(
                        "unavailable",
                        "request={} reason={} confirmation_age_ms={}",
                        caller.id(),
                        reason,
                        desk.view().confirmationAgeMillis());
        return refuse(request, sink, UNAVAILABLE, caller.id(), UNAVAILABLE_RETRY_MILLIS);
    }

    private static Optional<Exchange> refuse(
            FullHttpRequest request, AnswerSink sink, int status, String id, long retryMillis) {
        request.release();
        HttpHeaders headers = AnswerSink.headers();
        if (retryMillis > 0) {
            RequestHeaders.setRetryAfter(headers, retryMillis);
        }
        sink.own(status, headers, id);
        return Optional.empty();
    }
}
