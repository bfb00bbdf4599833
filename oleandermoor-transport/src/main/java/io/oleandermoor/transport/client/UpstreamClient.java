package io.oleandermoor.transport.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.transport.client.UpstreamListener.Result;
import io.oleandermoor.transport.client.UpstreamListener.Usage;
import io.oleandermoor.transport.json.ExactJson;
import java.io.IOException;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * Calls one upstream over HTTP: completions of an engine with the chat completions protocol and server-sent events, and
 * plain calls of a service. Safe for use by several threads.
 */
public final class UpstreamClient {

    private static final MediaType JSON = MediaType.get("application/json");

    private static final String DATA_PREFIX = "data: ";

    private static final String DONE = "[DONE]";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OkHttpClient client;

    private final HttpUrl base;

    /**
     * Creates a client of one upstream.
     *
     * @param client the HTTP client
     * @param address the upstream's address as {@code ip:port}
     */
    public UpstreamClient(OkHttpClient client, String address) {
        this.client = client;
        this.base = HttpUrl.get("http://" + address + "/");
    }

    /**
     * Runs a completion and reports its tokens as they arrive.
     *
     * @param body the JSON body, which asks for a stream with usage in every event
     * @param listener receives the answer
     * @return the call, to cancel it
     */
    public UpstreamCall complete(byte[] body, UpstreamListener listener) {
        Request request = new Request.Builder()
                .url(base.newBuilder().addPathSegments("v1/chat/completions").build())
                .post(RequestBody.create(body, JSON))
                .build();
        return enqueue(request, new CompletionCallback(listener));
    }

    /**
     * Calls a plain service.
     *
     * @param method the HTTP method
     * @param pathAndQuery the path with the query
     * @param headers the headers to send
     * @param body the body, empty if there is none
     * @param listener receives the answer
     * @return the call, to cancel it
     */
    public UpstreamCall call(
            String method, String pathAndQuery, Map<String, String> headers, byte[] body, UpstreamListener listener) {
        HttpUrl url = base.resolve(pathAndQuery);
        if (url == null) {
            throw new IllegalArgumentException("path '" + pathAndQuery + "' is not valid");
        }
        Request.Builder request = new Request.Builder().url(url);
        headers.forEach(request::header);
        String contentType = headers.getOrDefault("Content-Type", "application/octet-stream");
        boolean withoutBody = method.equals("GET") || method.equals("HEAD");
        request.method(method, withoutBody ? null : RequestBody.create(body, MediaType.parse(contentType)));
        return enqueue(request.build(), new ServiceCallback(listener));
    }

    private UpstreamCall enqueue(Request request, Callback callback) {
        Call call = client.newCall(request);
        call.enqueue(callback);
        return call::cancel;
    }

    private abstract static class AbstractCallback implements Callback {

        protected final UpstreamListener listener;

        AbstractCallback(UpstreamListener listener) {
            this.listener = listener;
        }

        @Override
        public void onFailure(Call call, IOException exception) {
            listener.failed(classify(call, exception));
        }

        @Override
        public void onResponse(Call call, Response response) {
            try (response) {
                read(response);
            } catch (IOException | RuntimeException exception) {
                listener.failed(call.isCanceled() ? UpstreamFailure.CANCELLED : UpstreamFailure.BROKEN);
            }
        }

        protected abstract void read(Response response) throws IOException;

        private static UpstreamFailure classify(Call call, IOException exception) {
            if (call.isCanceled()) {
                return UpstreamFailure.CANCELLED;
            }
            return exception instanceof ConnectException ? UpstreamFailure.NOT_SENT : UpstreamFailure.BROKEN;
        }
    }

    private static final class ServiceCallback extends AbstractCallback {

        ServiceCallback(UpstreamListener listener) {
            super(listener);
        }

        @Override
        protected void read(Response response) throws IOException {
            Map<String, String> headers = new HashMap<>();
            String contentType = response.header("Content-Type");
            if (contentType != null) {
                headers.put("Content-Type", contentType);
            }
            listener.completed(
                    new Result(response.code(), headers, response.body().bytes(), Usage.NONE, "stop"));
        }
    }

    private static final class CompletionCallback extends AbstractCallback {

        private long promptTokens;

        private long generatedTokens;

        private String finishReason = "";

        CompletionCallback(UpstreamListener listener) {
            super(listener);
        }

        @Override
        protected void read(Response response) throws IOException {
            if (response.code() != 200) {
                listener.completed(new Result(
                        response.code(),
                        Map.of("Content-Type", "application/json"),
                        response.body().bytes(),
                        Usage.NONE,
                        "error"));
                return;
            }
            if (!readEvents(response.body().source())) {
                listener.failed(UpstreamFailure.BROKEN);
                return;
            }
            listener.completed(
                    new Result(200, Map.of(), new byte[0], new Usage(promptTokens, generatedTokens), finishReason));
        }

        /** Returns whether the stream ended with its end mark. */
        private boolean readEvents(BufferedSource source) throws IOException {
            StringBuilder pending = new StringBuilder();
            while (true) {
                String line = source.readUtf8Line();
                if (line == null) {
                    return false;
                }
                if (line.startsWith(DATA_PREFIX)) {
                    String data = line.substring(DATA_PREFIX.length());
                    if (data.equals(DONE)) {
                        flush(pending);
                        return true;
                    }
                    accept(MAPPER.readTree(data), pending);
                }
                // Events that arrived together are passed on together. The empty line that ends an event is still in
                // the
                // buffer after its data, so the buffer is looked at after each line.
                if (source.getBuffer().size() == 0) {
                    flush(pending);
                }
            }
        }

        private void accept(JsonNode event, StringBuilder pending) {
            JsonNode usage = event.path("usage");
            if (usage.isObject()) {
                promptTokens =
                        ExactJson.wholeNumber(usage.path("prompt_tokens")).orElse(promptTokens);
                generatedTokens =
                        ExactJson.wholeNumber(usage.path("completion_tokens")).orElse(generatedTokens);
            }
            JsonNode choice = event.path("choices").path(0);
            @Nullable String content = choice.path("delta").path("content").textValue();
            if (content != null) {
                pending.append(content);
            }
            String reason = choice.path("finish_reason").asText("");
            if (!reason.isEmpty() && !reason.equals("null")) {
                finishReason = reason;
            }
        }

        private void flush(StringBuilder pending) {
            if (!pending.isEmpty()) {
                listener.tokens(pending.toString(), generatedTokens);
                pending.setLength(0);
            }
        }
    }
}
