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
import java.util.regex.Pattern;

/**
 * Finds messages whose end cannot be told from their head, or can be told in two ways (RFC 9112, section 6). Whoever
 * reads on behind such a message may take a part of its body for the next message.
 */
public final class MessageFraming {

    private static final int MAJOR_VERSION = 1;
    private static final Pattern LENGTH = Pattern.compile("[0-9]++");

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

    /**
     * Returns what {@link #findFault(HttpResponse)} returns, for the headers of a response of another library.
     *
     * @param version the version of the response
     * @param transferEncodings the values of all Transfer-Encoding headers
     * @param contentLengths the values of all Content-Length headers, which need not be numbers
     * @return the reason, empty if the framing is sound
     */
    public static Optional<String> findResponseFault(
            HttpVersion version, List<String> transferEncodings, List<String> contentLengths) {
        boolean singleNumber = contentLengths.size() == 1
                && LENGTH.matcher(contentLengths.get(0)).matches();
        if (!contentLengths.isEmpty() && !singleNumber) {
            return Optional.of("Content-Length is not a single number");
        }
        return findFault(version, transferEncodings, !contentLengths.isEmpty(), TransferCodings::areChunkedOnly);
    }

    private static Optional<String> findFault(HttpMessage message, Predicate<TransferCodings> sound) {
        return findFault(
                message.protocolVersion(),
                message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING),
                message.headers().contains(HttpHeaderNames.CONTENT_LENGTH),
                sound);
    }

    private static Optional<String> findFault(
            HttpVersion version, List<String> transferEncodings, boolean hasLength, Predicate<TransferCodings> sound) {
        if (version.majorVersion() != MAJOR_VERSION) {
            return Optional.of("the framing of " + version + " is not that of HTTP/1.1");
        }
        if (transferEncodings.isEmpty()) {
            return Optional.empty();
        }
        if (version.compareTo(HttpVersion.HTTP_1_1) < 0) {
            return Optional.of("Transfer-Encoding in a message of " + version);
        }
        if (hasLength) {
            return Optional.of("both Transfer-Encoding and Content-Length");
        }
        return TransferCodings.parse(transferEncodings).filter(sound).isPresent()
                ? Optional.empty()
                : Optional.of("no transfer codings that end with chunked once");
    }

    /** Replaces transfer codings without a fault by chunked, because Netty does not know all spellings of them. */
    static void normalize(HttpMessage message) {
        if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }
}
