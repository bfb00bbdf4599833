package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.FinishReason;
import io.oleandermoor.state.ledger.StoredResponse;
import io.oleandermoor.transport.http.HttpExchange;
import io.oleandermoor.transport.http.HttpResponse;

/** Answers a completion with one JSON object when it is complete. */
final class CollectResponder implements Responder {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpExchange exchange;

    private final String id;

    private final String model;

    private final StringBuilder text = new StringBuilder();

    CollectResponder(HttpExchange exchange, String id, String model) {
        this.exchange = exchange;
        this.id = id;
        this.model = model;
    }

    @Override
    public void text(String part) {
        text.append(part);
    }

    @Override
    public void finished(AttemptResult result, long promptTokens, long generatedTokens) {
        if (result.status() != 200) {
            exchange.respond(ServiceResponder.toResponse(result.status(), result.headers(), result.body()));
            return;
        }
        ObjectNode root = MAPPER.createObjectNode();
        root.put("id", id).put("object", "chat.completion").put("model", model);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", result.reason() == FinishReason.LENGTH ? "length" : "stop");
        root.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", generatedTokens)
                .put("total_tokens", promptTokens + generatedTokens);
        try {
            exchange.respond(HttpResponse.json(200, MAPPER.writeValueAsString(root)));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("an answer can always be written as JSON", exception);
        }
    }

    @Override
    public void replay(StoredResponse answer) {
        throw new IllegalStateException("answers of completions are not stored");
    }

    @Override
    public void failed(CallerError error) {
        exchange.respond(error.toResponse());
    }
}
