package io.oleandermoor.daemon.agent;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.RequestClass;
import io.oleandermoor.transport.json.ExactJson;
import java.io.IOException;

/** Turns a caller's request into the request that is sent to the engine. */
final class EngineBody {

    private static final int LIVE_PRIORITY = 0;

    private static final int BATCH_PRIORITY = 10;

    private EngineBody() {}

    /**
     * Returns the JSON body for the engine: always streamed, with usage in every event, and going on after the tokens
     * that the caller has already.
     */
    static byte[] of(Dispatch dispatch) throws IOException {
        if (!(ExactJson.MAPPER.readTree(dispatch.getCall().getBody().toByteArray()) instanceof ObjectNode body)) {
            throw new IOException("body is not a JSON object");
        }
        body.put("stream", true);
        ObjectNode options = body.putObject("stream_options");
        options.put("include_usage", true);
        options.put("continuous_usage_stats", true);
        body.put("priority", dispatch.getRequestClass() == RequestClass.LIVE ? LIVE_PRIORITY : BATCH_PRIORITY);
        body.put("max_tokens", dispatch.getMaximumTokens() - dispatch.getResumeOffset());
        if (dispatch.getResumeOffset() > 0 && body.get("messages") instanceof ArrayNode messages) {
            messages.addObject().put("role", "assistant").put("content", dispatch.getResumeText());
            body.put("continue_final_message", true);
            body.put("add_generation_prompt", false);
        }
        return ExactJson.MAPPER.writeValueAsBytes(body);
    }
}
