package io.oleandermoor.gateway.request;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import java.util.OptionalLong;

/** Creates the requests that are sent to instances from those of callers. */
final class InstanceRequests {

    private InstanceRequests() {}

    /**
     * Returns a request with the method, path and body of a caller's request and the headers for an instance.
     *
     * @param request the caller's request; the result retains its body
     * @param admitted what was admitted
     * @param instance the instance that runs it
     * @param remainingMillis the time until the deadline of the request
     * @param lastEventId the event after which a stream goes on, empty to start from the first
     */
    static FullHttpRequest create(
            FullHttpRequest request,
            AdmittedRequest admitted,
            UpstreamInstance instance,
            long remainingMillis,
            OptionalLong lastEventId) {
        RequestHeaders.InstanceHeaders headers = new RequestHeaders.InstanceHeaders(
                instance.id(),
                admitted.team().map(TeamLimits::name),
                Math.max(1, remainingMillis),
                admitted.urgency(),
                lastEventId);
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.content().retainedDuplicate(),
                RequestHeaders.encode(
                        request.headers(), headers, request.content().readableBytes()),
                EmptyHttpHeaders.INSTANCE);
    }
}
