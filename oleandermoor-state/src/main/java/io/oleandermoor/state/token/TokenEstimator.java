package io.oleandermoor.state.token;

import java.nio.charset.StandardCharsets;

/** Bounds the number of tokens of a prompt before an engine has counted them. */
public final class TokenEstimator {

    /** Tokens that a chat template adds for each message. */
    public static final int TEMPLATE_TOKENS_PER_MESSAGE = 8;

    private TokenEstimator() {}

    /**
     * Returns an upper bound of the tokens of one message. A byte-level tokenizer produces at most one token for each
     * byte, so the number of UTF-8 bytes is a bound.
     *
     * @param content the text of the message
     * @return the largest number of tokens
     */
    public static long upperBound(String content) {
        return content.getBytes(StandardCharsets.UTF_8).length + (long) TEMPLATE_TOKENS_PER_MESSAGE;
    }
}
