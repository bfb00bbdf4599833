package io.oleandermoor.gateway.request;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.oleandermoor.platform.RequestHeaders;
import io.oleandermoor.state.dispatch.EventId;
import io.oleandermoor.state.fleet.TeamLimits;
import io.oleandermoor.state.fleet.UpstreamInstance;
import io.oleandermoor.state.quarantine.RequestTraits;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Creates the requests that are sent to instances from those of callers, and determines what they have in common. */
final class InstanceRequests {

    private InstanceRequests() {}

    /** Returns the traits by which requests are recognized that end instances. */
    static RequestTraits traits(FullHttpRequest request, AdmittedRequest admitted) {
        List<String> sharedParts =
                admitted.target().isPresent() ? admitted.caller().sharedPartIds() : List.of();
        return new RequestTraits(sharedParts, () -> fingerprint(request, admitted));
    }

    private static String fingerprint(FullHttpRequest request, AdmittedRequest admitted) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("each Java platform provides SHA-256", exception);
        }
        String head = String.join(
                "\n",
                admitted.service(),
                admitted.team().map(TeamLimits::name).orElse(""),
                request.method().name(),
                request.uri(),
                "");
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        for (ByteBuffer part : request.content().nioBuffers()) {
            digest.update(part);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

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
            Optional<EventId> lastEventId) {
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
