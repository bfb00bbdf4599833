package io.oleandermoor.state.ledger;

/**
 * Part of a streamed answer.
 *
 * @param offset position of the first token in the whole answer
 * @param tokens number of tokens, at least 1
 * @param text the text of the tokens
 */
public record TextChunk(int offset, int tokens, String text) {

    /** Checks the numbers. */
    public TextChunk {
        if (offset < 0 || tokens < 1) {
            throw new IllegalArgumentException("offset must not be negative and tokens must be positive");
        }
    }

    /**
     * Returns the position after the last token.
     *
     * @return the offset of the next chunk
     */
    public int endOffset() {
        return offset + tokens;
    }
}
