package io.oleandermoor.state.ledger;

/**
 * Chunk of a streamed answer.
 *
 * @param offset the position of the first token in the whole answer
 * @param tokens the number of tokens, at least 1
 * @param text the text of the tokens
 */
public record TextChunk(int offset, int tokens, String text) {

    /** Checks the ranges of offset and token count. */
    public TextChunk {
        if (offset < 0 || tokens < 1) {
            throw new IllegalArgumentException("offset must not be negative and tokens must be positive");
        }
    }

    /**
     * Returns the position after the last token.
     *
     * @return the offset at which the next chunk starts
     */
    public int endOffset() {
        return offset + tokens;
    }
}
