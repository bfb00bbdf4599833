package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a connection that carries one request at a time. Unlike Netty's client codec, it shows what
 * has arrived behind the end of a response, also if that is too little to be decoded, and it takes a status that is not
 * three digits from 100 to 599 for a malformed head: an instance in trouble sends statuses such as 000, which otherwise
 * counts as that of an interim response. A response whose end cannot be told for certain is malformed, too.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    private static final int STATUS_WORD = 1;

    private final ChunkedBodyGuard chunks = new ChunkedBodyGuard();
    private HttpMethod requestMethod = HttpMethod.GET;

    /**
     * Creates a decoder.
     *
     * @param configuration the limits of heads and chunks
     */
    public ResponseDecoder(HttpDecoderConfig configuration) {
        super(configuration);
    }

    /** Sets the method of the request whose response is decoded next, because a response to HEAD has no body. */
    public void expectResponseTo(HttpMethod method) {
        requestMethod = method;
    }

    /** Returns the bytes that have arrived and are not decoded; must not be read from, released or kept. */
    public ByteBuf undecodedBytes() {
        return internalBuffer();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[STATUS_WORD];
        if (!STATUS.matcher(status).matches()) {
            throw new IllegalArgumentException("invalid status: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        chunks.decode(buffer, decoded, () -> super.decode(context, buffer, decoded));
    }

    /** Called with the complete head, before it decides how the body is decoded. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        if (requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message)) {
            return true;
        }
        MessageFraming.requireSound((HttpResponse) message);
        return false;
    }
}
