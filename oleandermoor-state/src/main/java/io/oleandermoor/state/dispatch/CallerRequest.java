package io.oleandermoor.state.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its request.
 *
 * @param id the identifier of this attempt of the caller
 * @param host the host without a port
 * @param path the path without a query
 * @param deadlineMillis how long the caller waits
 * @param apiKey the key that the caller presents
 * @param target the model or adapter
 * @param tokens the prompt's tokens and the largest number of generated ones
 * @param promptParts the parts of the prompt in their order, shared ones first
 * @param lastEventId the last event of the stream that the caller has
 */
public record CallerRequest(
        String id,
        String host,
        String path,
        OptionalLong deadlineMillis,
        Optional<String> apiKey,
        Optional<ModelTarget> target,
        Optional<Tokens> tokens,
        List<PromptPart> promptParts,
        OptionalLong lastEventId) {

    /** Copies the parts. */
    public CallerRequest {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * The size of a request.
     *
     * @param prompt the tokens of the prompt
     * @param output the largest number of tokens that are generated
     */
    public record Tokens(long prompt, long output) {}

    /**
     * A part of a prompt.
     *
     * @param id the identifier of its content
     * @param tokens its length
     */
    public record PromptPart(String id, long tokens) {}

    /** Returns the tokens for which the request counts, or -1 if the caller stated none. */
    public long declaredTokens() {
        return tokens.map(size -> size.prompt() + size.output()).orElse(-1L);
    }
}
