package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the requests of a connection. A request whose end cannot be told for certain is malformed, and what follows
 * it on its connection is discarded; Netty's decoder takes the body of some of them for the next request.
 */
public class RequestDecoder extends HttpRequestDecoder {

    private final ChunkedBodyGuard chunks = new ChunkedBodyGuard();

    /**
     * Creates a decoder.
     *
     * @param configuration the limits of heads and chunks
     */
    public RequestDecoder(HttpDecoderConfig configuration) {
        super(configuration);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        if (chunks.hasFailed()) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        int decodedBefore = decoded.size();
        super.decode(context, buffer, decoded);
        chunks.check(buffer, start, decoded, decodedBefore);
    }

    /** Called with the complete head, before it decides how the body is decoded. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        Optional<String> fault = MessageFraming.findFault((HttpRequest) message);
        if (fault.isPresent()) {
            throw new IllegalArgumentException(fault.get());
        }
        if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            // Netty does not know all spellings of a list that ends with chunked.
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return super.isContentAlwaysEmpty(message);
    }
}
