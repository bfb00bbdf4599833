package io.oleandermoor.transport.client;

import java.util.Map;

/** Receives the answer of an upstream to one call. Called by one thread at a time. */
public interface UpstreamListener {

    /**
     * Called for generated tokens of a streamed completion.
     *
     * @param text the text
     * @param generatedTokens number of tokens generated in this call so far
     */
    void tokens(String text, long generatedTokens);

    /**
     * Called when the answer is complete.
     *
     * @param result the result
     */
    void completed(Result result);

    /**
     * Called when no complete answer arrived.
     *
     * @param failure what went wrong
     */
    void failed(UpstreamFailure failure);

    /**
     * A complete answer.
     *
     * @param status the HTTP status
     * @param headers headers to pass on
     * @param body the body; empty for a stream
     * @param usage the tokens that were used; zero for a plain service
     * @param finishReason why generation ended, as the engine names it
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared
    record Result(int status, Map<String, String> headers, byte[] body, Usage usage, String finishReason) {}

    /**
     * Tokens that a call used.
     *
     * @param promptTokens tokens of the prompt
     * @param generatedTokens generated tokens
     */
    record Usage(long promptTokens, long generatedTokens) {

        /** No tokens. */
        public static final Usage NONE = new Usage(0, 0);
    }
}
