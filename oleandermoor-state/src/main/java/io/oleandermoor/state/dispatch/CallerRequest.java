package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.fleet.HostRoute;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The properties of a request that the caller sends in its headers.
 *
 * @param id the identifier of this attempt of the caller
 * @param host the host without a port
 * @param path the path without a query
 * @param deadlineMillis the time that the caller waits for the response
 * @param apiKey the API key of the caller
 * @param target the requested model or adapter
 * @param tokens the number of prompt tokens and the maximum number of generated tokens
 * @param promptParts the parts of the prompt in order, those shared with other requests first
 * @param lastEventId the identifier of the last stream event that the caller received
 * @param resumedId the identifier of the caller's attempt that brought the first event of the stream it takes up
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
        Optional<EventId> lastEventId,
        Optional<String> resumedId) {

    /** Copies the prompt parts. */
    public CallerRequest {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * The size of a request in tokens.
     *
     * @param prompt the number of prompt tokens
     * @param output the maximum number of generated tokens
     */
    public record Tokens(long prompt, long output) {}

    /**
     * A part of a prompt.
     *
     * @param id the identifier of its content
     * @param tokens the number of tokens
     */
    public record PromptPart(String id, long tokens) {}

    /**
     * Returns the identifiers of the prompt parts that other requests may share: all but the last one, which is
     * specific to the request or its session.
     */
    public List<String> sharedPartIds() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Returns the time within which the request must be answered: that of its route, or that of the caller if shorter.
     */
    public long allowedMillis(HostRoute route) {
        return Math.min(route.timeoutMillis(), deadlineMillis.orElse(Long.MAX_VALUE));
    }

    /** Returns the sum of prompt and output tokens, or -1 if the caller declared none. */
    public long declaredTokens() {
        return tokens.map(size -> size.prompt() + size.output()).orElse(-1L);
    }
}
