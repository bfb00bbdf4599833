package io.oleandermoor.transport.client;

import io.netty.handler.codec.http.HttpVersion;
import io.oleandermoor.transport.framing.MessageFraming;
import java.io.IOException;
import java.net.ProtocolException;
import java.util.Optional;
import okhttp3.Interceptor;
import okhttp3.Response;

/** Fails calls whose response does not say for certain where its body ends; OkHttp takes it as it finds it. */
final class ResponseFramingInterceptor implements Interceptor {

    @Override
    public Response intercept(Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        Optional<String> fault = MessageFraming.findResponseFault(
                HttpVersion.valueOf(response.protocol().toString()),
                response.headers("Transfer-Encoding"),
                response.headers("Content-Length"));
        if (fault.isPresent()) {
            // OkHttp ends the connection of a call that fails; closing the response would read its body.
            throw new ProtocolException(fault.get());
        }
        return response;
    }
}
