package io.oleandermoor.transport.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import java.util.Queue;

/**
 * Decodes the requests of a connection. A request whose end cannot be told for certain is malformed, and what follows
 * it on its connection is discarded; Netty's decoder takes the body of some of them for the next request.
 */
public class RequestDecoder extends HttpRequestDecoder {

    private final Queue<HttpMethod> methods;
    private final ChunkedBodyGuard chunks = new ChunkedBodyGuard();

    /**
     * Creates a decoder.
     *
     * @param configuration the limits of heads and chunks
     * @param methods gets the method of each request, for the {@link ResponseEncoder} of the connection
     */
    public RequestDecoder(HttpDecoderConfig configuration, Queue<HttpMethod> methods) {
        super(configuration);
        this.methods = methods;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        int decodedBefore = decoded.size();
        chunks.decode(buffer, decoded, () -> super.decode(context, buffer, decoded));
        for (int index = decodedBefore; index < decoded.size(); index++) {
            if (decoded.get(index) instanceof HttpRequest request) {
                methods.add(request.method());
            }
        }
    }

    /** Called with the complete head, before it decides how the body is decoded. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        MessageFraming.requireSound((HttpRequest) message);
        return super.isContentAlwaysEmpty(message);
    }
}
