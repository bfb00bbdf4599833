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
     * Checks that the end of a request can be told for certain.
     *
     * @param request a request whose Content-Length, if it has one, is known to be a single number
     * @throws IllegalArgumentException if its framing is not sound
     */
    static void requireSound(HttpRequest request) {
        if (request.method().equals(HttpMethod.CONNECT)) {
            throw new IllegalArgumentException("the response to CONNECT would be followed by bytes that are not HTTP");
        }
        requireSound(request, TransferCodings::endWithChunked);
    }

    /**
     * Checks that the end of a response that has a body can be told for certain, and that its body is what the sender
     * meant: no coding but chunked is ever asked for (RFC 9110, section 10.1.4), and none is decoded.
     *
     * @param response a response whose Content-Length, if it has one, is known to be a single number
     * @throws IllegalArgumentException if its framing is not sound
     */
    static void requireSound(HttpResponse response) {
        requireSound(response, TransferCodings::areChunkedOnly);
    }

    /**
     * Returns why the framing of a response that another library has decoded is not sound, by the same rules.
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

    private static void requireSound(HttpMessage message, Predicate<TransferCodings> sound) {
        List<String> transferEncodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        Optional<String> fault = findFault(
                message.protocolVersion(),
                transferEncodings,
                message.headers().contains(HttpHeaderNames.CONTENT_LENGTH),
                sound);
        if (fault.isPresent()) {
            throw new IllegalArgumentException(fault.get());
        }
        if (!transferEncodings.isEmpty()) {
            // Netty does not know all spellings of a list that ends with chunked.
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
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
}
