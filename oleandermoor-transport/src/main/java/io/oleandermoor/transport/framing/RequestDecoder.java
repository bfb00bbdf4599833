package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
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
        chunks.decode(buffer, decoded, () -> super.decode(context, buffer, decoded));
    }

    /** Called with the complete head, before it decides how the body is decoded. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        Optional<String> fault = MessageFraming.findFault((HttpRequest) message);
        if (fault.isPresent()) {
            throw new IllegalArgumentException(fault.get());
        }
        MessageFraming.normalize(message);
        return super.isContentAlwaysEmpty(message);
    }
}
