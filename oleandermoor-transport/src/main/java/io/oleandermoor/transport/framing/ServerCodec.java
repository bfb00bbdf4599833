package io.oleandermoor.transport.framing;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.Queue;

/** Decodes the requests of a connection and encodes the responses; takes the place of Netty's server codec. */
public final class ServerCodec extends CombinedChannelDuplexHandler<RequestDecoder, ResponseEncoder> {

    /**
     * Creates a codec for one connection.
     *
     * @param configuration the limits of heads and chunks
     */
    public ServerCodec(HttpDecoderConfig configuration) {
        Queue<HttpMethod> methods = new ArrayDeque<>();
        init(new RequestDecoder(configuration, methods), new ResponseEncoder(methods));
    }
}
