package io.oleandermoor.state.token;

import java.nio.charset.StandardCharsets;

/** Computes upper bounds of the token counts of prompts, for use before an engine has tokenized them. */
public final class TokenEstimator {

    /** Number of tokens that a chat template adds to each message. */
    public static final int TEMPLATE_TOKENS_PER_MESSAGE = 8;

    private TokenEstimator() {}

    /**
     * Returns an upper bound of the token count of one message. A byte-level tokenizer produces at most one token per
     * byte, so the number of UTF-8 bytes plus the tokens of the chat template is an upper bound.
     *
     * @param content the text of the message
     * @return the maximum number of tokens
     */
    public static long upperBound(String content) {
        return content.getBytes(StandardCharsets.UTF_8).length + (long) TEMPLATE_TOKENS_PER_MESSAGE;
    }
}
