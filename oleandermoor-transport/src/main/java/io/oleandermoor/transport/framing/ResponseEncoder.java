package io.oleandermoor.transport.framing;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Queue;
import org.jspecify.annotations.Nullable;

/** Encodes responses according to the methods of their requests, which decide whether a response has a body. */
public final class ResponseEncoder extends HttpResponseEncoder {

    private final Queue<HttpMethod> methods;
    private @Nullable HttpMethod method;

    /**
     * Creates an encoder for one connection.
     *
     * @param methods the methods of the requests that have no response yet
     */
    public ResponseEncoder(Queue<HttpMethod> methods) {
        this.methods = methods;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        // An interim response such as 100 (Continue) precedes the response to the same request.
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        method = interim ? methods.peek() : methods.poll();
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
        if (!alwaysEmpty
                && HttpMethod.CONNECT.equals(method)
                && response.status().codeClass() == HttpStatusClass.SUCCESS) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            return;
        }
        super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
    }
}
