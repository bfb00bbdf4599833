package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.StoredResponse;
import io.oleandermoor.transport.http.EventStream;
import io.oleandermoor.transport.http.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Answers a completion with server-sent events. The response starts with the first text, so that a refusal has a
 * status.
 */
final class StreamResponder implements Responder {

    private final HttpExchange exchange;

    private final Runnable onCallerGone;

    private final String prefix;

    private @Nullable EventStream stream;

    StreamResponder(HttpExchange exchange, String id, String model, Runnable onCallerGone) {
        this.exchange = exchange;
        this.onCallerGone = onCallerGone;
        this.prefix = "data: {\"id\":\"" + id + "\",\"object\":\"chat.completion.chunk\",\"model\":\"" + model
                + "\",\"choices\":[{\"index\":0,";
    }

    @Override
    public void text(String text) {
        StringBuilder event = new StringBuilder(prefix.length() + text.length() + 64);
        event.append(prefix).append("\"delta\":{\"content\":\"");
        JsonStringEncoder.getInstance().quoteAsString(text, event);
        event.append("\"},\"finish_reason\":null}]}\n\n");
        send(event.toString());
    }

    @Override
    public void finished(AttemptResult result, long promptTokens, long generatedTokens) {
        if (result.status() != 200 && stream == null) {
            exchange.respond(ServiceResponder.toResponse(result.status(), result.headers(), result.body()));
            return;
        }
        String reason = result.reason() == FinishReason.LENGTH ? "length" : "stop";
        send(prefix + "\"delta\":{},\"finish_reason\":\"" + reason + "\"}],\"usage\":{\"prompt_tokens\":" + promptTokens
                + ",\"completion_tokens\":" + generatedTokens + ",\"total_tokens\":"
                + (promptTokens + generatedTokens) + "}}\n\ndata: [DONE]\n\n");
        open().end();
    }

    @Override
    public void replay(StoredResponse answer) {
        throw new IllegalStateException("answers of completions are not stored");
    }

    @Override
    public void failed(CallerError error) {
        if (stream == null) {
            exchange.respond(error.toResponse());
            return;
        }
        send("data: " + error.toJson() + "\n\n");
        open().end();
    }

    private void send(String events) {
        open().send(events.getBytes(StandardCharsets.UTF_8));
    }

    private EventStream open() {
        EventStream opened = stream;
        if (opened == null) {
            opened = exchange.startEventStream(Map.of(), onCallerGone);
            stream = opened;
        }
        return opened;
    }
}
