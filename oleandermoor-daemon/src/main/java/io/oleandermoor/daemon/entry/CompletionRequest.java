package io.oleandermoor.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.state.token.TokenEstimator;
import io.oleandermoor.transport.json.ExactJson;
import java.io.IOException;

/**
 * A parsed chat completion request.
 *
 * @param target the model or adapter that the caller asked for
 * @param stream whether the caller wants server-sent events
 * @param maximumTokens largest number of tokens to generate
 * @param promptTokens upper bound of the prompt's tokens
 * @param body the body without the caller's key
 */
record CompletionRequest(String target, boolean stream, int maximumTokens, long promptTokens, ObjectNode body) {

    static final int DEFAULT_MAXIMUM_TOKENS = 256;

    static final int LARGEST_MAXIMUM_TOKENS = 32_768;

    static ObjectNode parseBody(byte[] bytes) throws RefusedException {
        try {
            if (ExactJson.MAPPER.readTree(bytes) instanceof ObjectNode object) {
                return object;
            }
            throw invalid("the body must be a JSON object");
        } catch (JsonProcessingException exception) {
            throw invalid("the body is not valid JSON: line "
                    + exception.getLocation().getLineNr() + ", column "
                    + exception.getLocation().getColumnNr());
        } catch (IOException exception) {
            throw invalid("the body cannot be read");
        }
    }

    static CompletionRequest of(ObjectNode body) throws RefusedException {
        String target = body.path("model").textValue();
        if (target == null) {
            throw invalid("'model' must be the name of a model or adapter");
        }
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw invalid("'messages' must be a list with at least one message");
        }
        long promptTokens = 0;
        for (int index = 0; index < messages.size(); index++) {
            JsonNode message = messages.get(index);
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw invalid("'messages[" + index + "]' must have the texts 'role' and 'content'");
            }
            promptTokens += TokenEstimator.upperBound(message.path("content").asText());
        }
        ObjectNode forwarded = body.deepCopy();
        forwarded.remove(CallerCredentials.KEY_FIELD);
        return new CompletionRequest(
                target, body.path("stream").asBoolean(false), maximumTokens(body), promptTokens, forwarded);
    }

    private static int maximumTokens(ObjectNode body) throws RefusedException {
        String field = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = body.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAXIMUM_TOKENS;
        }
        if (!value.isInt() || value.intValue() < 1 || value.intValue() > LARGEST_MAXIMUM_TOKENS) {
            throw invalid("'" + field + "' must be a whole number from 1 to " + LARGEST_MAXIMUM_TOKENS);
        }
        return value.intValue();
    }

    private static RefusedException invalid(String message) {
        return new RefusedException(CallerError.notRun(400, "invalid_request", message));
    }
}
