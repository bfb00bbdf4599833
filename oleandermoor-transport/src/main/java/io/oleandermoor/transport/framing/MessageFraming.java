package io.oleandermoor.transport.framing;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds messages whose end cannot be told from their head, or can be told in two ways (RFC 9112, section 6). Whoever
 * reads on behind such a message may take a part of its body for the next message.
 */
public final class MessageFraming {

    private static final int MAJOR_VERSION = 1;

    private MessageFraming() {}

    /**
     * Returns why the end of a request cannot be told for certain.
     *
     * @param request a request whose Content-Length, if it has one, is known to be a single number
     * @return the reason, empty if the framing is sound
     */
    public static Optional<String> findFault(HttpRequest request) {
        if (request.method().equals(HttpMethod.CONNECT)) {
            return Optional.of("the response to CONNECT would be followed by bytes that are not HTTP");
        }
        return findFault(request, TransferCodings::endWithChunked);
    }

    /**
     * Returns why the end of a response that has a body cannot be told for certain, or why its body is not what the
     * sender meant: no coding but chunked is ever asked for (RFC 9110, section 10.1.4), and none is decoded.
     *
     * @param response a response whose Content-Length, if it has one, is known to be a single number
     * @return the reason, empty if the framing is sound
     */
    public static Optional<String> findFault(HttpResponse response) {
        return findFault(response, TransferCodings::areChunkedOnly);
    }

    private static Optional<String> findFault(HttpMessage message, Predicate<TransferCodings> sound) {
        HttpVersion version = message.protocolVersion();
        if (version.majorVersion() != MAJOR_VERSION) {
            return Optional.of("the framing of " + version + " is not that of HTTP/1.1");
        }
        List<String> transferEncodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferEncodings.isEmpty()) {
            return Optional.empty();
        }
        if (version.compareTo(HttpVersion.HTTP_1_1) < 0) {
            return Optional.of("Transfer-Encoding in a message of " + version);
        }
        if (message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            return Optional.of("both Transfer-Encoding and Content-Length");
        }
        return TransferCodings.parse(transferEncodings).filter(sound).isPresent()
                ? Optional.empty()
                : Optional.of("the transfer codings are not chunked");
    }

    /** Replaces transfer codings without a fault by chunked, because Netty does not know all spellings of them. */
    static void normalize(HttpMessage message) {
        if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }
}
