package io.oleandermoor.gateway.request;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.oleandermoor.gateway.view.Timestamp;
import io.oleandermoor.platform.DecodeException;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.CallerRequest;
import io.oleandermoor.state.dispatch.ModelTarget;
import io.oleandermoor.state.fleet.FleetDocument;
import io.oleandermoor.state.fleet.HostRoute;
import io.oleandermoor.state.fleet.RequestKind;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamService;
import io.oleandermoor.state.share.SharedTokenBucket;
import java.util.Optional;

/** Admits or refuses requests by route, key and rate. Used on the event loop only. */
final class Admission {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;
    /** Time after which the caller of a stopping entry retries at another one. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 100;

    private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 10_000;
    /** 2 to the power of 53, the range within which a double represents every integer. */
    private static final double UNIT_HASH_RANGE = 0x1.0p53;

    private final RequestDispatcher dispatcher;

    Admission(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Refuses the request, or starts an exchange that handles it. Takes ownership of the request. */
    Optional<RequestExchange> admit(FullHttpRequest request, ResponseWriter response) {
        CallerRequest caller;
        try {
            caller = RequestHeaders.decode(request);
        } catch (DecodeException exception) {
            dispatcher.eventLog().log("malformed", "cause=\"{}\"", String.valueOf(exception.getMessage()));
            return refuse(request, response, BAD_REQUEST, "", 0);
        }
        Optional<FleetDocument> document = dispatcher.view().document();
        if (document.isEmpty() || !dispatcher.view().canServe(Long.MAX_VALUE)) {
            return refuseUnavailable(request, response, caller, "not_ready", UNAVAILABLE_RETRY_AFTER_MILLIS);
        }
        Optional<HostRoute> route = document.get().route(caller.host(), caller.path());
        if (route.isEmpty()) {
            dispatcher
                    .eventLog()
                    .log(
                            "no_route",
                            "request={} version={}",
                            caller.id(),
                            document.get().version());
            return refuse(request, response, NOT_FOUND, caller.id(), 0);
        }
        boolean openRoute = route.get().traits().anonymousAllowed();
        // A key may have been revoked since the last confirmation; requests on open routes need no key.
        if (!openRoute
                && dispatcher.view().confirmationAgeMillis()
                        >= dispatcher.limits().maximumKeyConfirmationAgeMillis()) {
            return refuseUnavailable(request, response, caller, "keys_not_confirmed", UNAVAILABLE_RETRY_AFTER_MILLIS);
        }
        Optional<TeamLimits> team = caller.apiKey().flatMap(document.get()::teamOfKey);
        if (team.isEmpty() && !openRoute) {
            dispatcher
                    .eventLog()
                    .log(
                            "unknown_key",
                            "request={} version={}",
                            caller.id(),
                            document.get().version());
            return refuse(request, response, UNAUTHORIZED, caller.id(), 0);
        }
        if (!isAcceptedBeforeStop(route.get(), caller)) {
            return refuseUnavailable(request, response, caller, "stopping", STOPPING_RETRY_AFTER_MILLIS);
        }
        if (!tryTakeRateTokens(route.get(), team, caller)) {
            return refuseOverRate(request, response, caller, route.get(), team.get());
        }
        String service = route.get().serviceFor(unitHash(routingId(caller)));
        boolean engine =
                document.get().service(service).flatMap(UpstreamService::engine).isPresent();
        Optional<ModelTarget> target = engine ? caller.target() : Optional.empty();
        RequestExchange exchange = new RequestExchange(
                dispatcher, response, request, new AdmittedRequest(caller, route.get(), team, service, target));
        exchange.start();
        return Optional.of(exchange);
    }

    private boolean isAcceptedBeforeStop(HostRoute route, CallerRequest caller) {
        long allowedMillis = caller.allowedMillis(route);
        long now = Timestamp.monotonicNowMillis();
        return dispatcher
                .view()
                .shutdown()
                .map(shutdown -> shutdown.accepts(route, allowedMillis, now))
                .orElse(true);
    }

    /** A stream that is taken up goes on at the service that began it. */
    private static String routingId(CallerRequest caller) {
        return caller.lastEventId().flatMap(event -> caller.resumedId()).orElse(caller.id());
    }

    private static double unitHash(String id) {
        long mixed = id.hashCode() * 0x9E3779B97F4A7C15L;
        return (mixed >>> 11) / UNIT_HASH_RANGE;
    }

    private static boolean isTakenUp(HostRoute route, CallerRequest caller) {
        return route.kind() == RequestKind.STREAMING
                && route.repeatable()
                && caller.lastEventId().isPresent();
    }

    /** Returns the tokens that the request leaves to streams that are taken up. */
    private long keptTokens(HostRoute route, CallerRequest caller, TeamLimits team, long tokens) {
        return isTakenUp(route, caller) ? 0 : dispatcher.view().tokensKeptForRejoining(team, tokens);
    }

    private boolean tryTakeRateTokens(HostRoute route, Optional<TeamLimits> team, CallerRequest caller) {
        if (team.isEmpty() || !team.get().rateLimited()) {
            return true;
        }
        long tokens = team.get().chargedTokens(caller.declaredTokens());
        dispatcher.view().refillBuckets();
        return dispatcher
                .view()
                .bucket(team.get().name())
                .map(bucket -> bucket.tryConsume(tokens, keptTokens(route, caller, team.get(), tokens)))
                .orElse(true);
    }

    private Optional<RequestExchange> refuseOverRate(
            FullHttpRequest request, ResponseWriter response, CallerRequest caller, HostRoute route, TeamLimits team) {
        long tokens = team.chargedTokens(caller.declaredTokens());
        long keptTokens = keptTokens(route, caller, team, tokens);
        if (isTakenUp(route, caller)) {
            dispatcher.view().recordRejoiningRefused(team, tokens);
        }
        Optional<SharedTokenBucket> bucket = dispatcher.view().bucket(team.name());
        long waitMillis = bucket.map(each -> each.millisUntilAvailable(tokens + keptTokens))
                .orElse(MINIMUM_RETRY_AFTER_MILLIS);
        dispatcher
                .eventLog()
                .log(
                        "over_rate",
                        "request={} team={} tokens={} kept={} level={} rate={} silent={}",
                        caller.id(),
                        team.name(),
                        tokens,
                        keptTokens,
                        bucket.map(each -> (long) each.level()).orElse(0L),
                        team.ratePerSecond(),
                        dispatcher.view().silentPeers());
        return refuse(
                request,
                response,
                TOO_MANY_REQUESTS,
                caller.id(),
                Math.max(MINIMUM_RETRY_AFTER_MILLIS, Math.min(MAXIMUM_RETRY_AFTER_MILLIS, waitMillis)));
    }

    private Optional<RequestExchange> refuseUnavailable(
            FullHttpRequest request,
            ResponseWriter response,
            CallerRequest caller,
            String reason,
            long retryAfterMillis) {
        dispatcher
                .eventLog()
                .log(
                        "unavailable",
                        "request={} reason={} confirmation_age_ms={}",
                        caller.id(),
                        reason,
                        dispatcher.view().confirmationAgeMillis());
        return refuse(request, response, SERVICE_UNAVAILABLE, caller.id(), retryAfterMillis);
    }

    private static Optional<RequestExchange> refuse(
            FullHttpRequest request, ResponseWriter response, int status, String id, long retryAfterMillis) {
        request.release();
        HttpHeaders headers = ResponseWriter.newHeaders();
        if (retryAfterMillis > 0) {
            RequestHeaders.setRetryAfter(headers, retryAfterMillis);
        }
        response.writeLocalResponse(status, headers, id);
        return Optional.empty();
    }
}
