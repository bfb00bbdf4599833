package io.oleandermoor.state.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.openhft.hashing.LongHashFunction;

/**
 * Hashes of the leading blocks of a prompt. Each hash covers its block and all preceding blocks, so that equal hashes
 * mean equal prefixes. Immutable.
 */
public final class PromptPrefix {

    /** Size of a block in bytes. Engines cache whole blocks of tokens; 256 bytes are about 64 tokens. */
    public static final int BLOCK_BYTES = 256;

    /** Maximum number of blocks that are hashed. Routing ignores any blocks after these. */
    public static final int MAXIMUM_BLOCKS = 64;

    private static final PromptPrefix EMPTY = new PromptPrefix(new long[0]);
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final long[] hashes;

    private PromptPrefix(long[] hashes) {
        this.hashes = hashes;
    }

    /**
     * Returns a prefix without blocks, for requests that have no prompt.
     *
     * @return the empty prefix
     */
    public static PromptPrefix empty() {
        return EMPTY;
    }

    /**
     * Hashes the complete leading blocks of a prompt.
     *
     * @param scope the name of the model or adapter, because models and adapters do not share cached blocks
     * @param prompt the prompt in UTF-8
     * @return the prefix with one hash per block
     */
    public static PromptPrefix of(String scope, byte[] prompt) {
        int blocks = Math.min(MAXIMUM_BLOCKS, prompt.length / BLOCK_BYTES);
        if (blocks == 0) {
            return EMPTY;
        }
        long[] hashes = new long[blocks];
        long chainedHash = HASH.hashBytes(scope.getBytes(StandardCharsets.UTF_8));
        for (int block = 0; block < blocks; block++) {
            chainedHash = HASH.hashLong(
                    Long.rotateLeft(chainedHash, 23) ^ HASH.hashBytes(prompt, block * BLOCK_BYTES, BLOCK_BYTES));
            hashes[block] = chainedHash;
        }
        return new PromptPrefix(hashes);
    }

    /**
     * Returns the number of hashed blocks.
     *
     * @return the number of blocks
     */
    public int blockCount() {
        return hashes.length;
    }

    /**
     * Returns the hash of the prefix that ends with a block.
     *
     * @param block the index of the block, starting at 0
     * @return the hash
     */
    public long hash(int block) {
        return hashes[block];
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPrefix prefix && Arrays.equals(hashes, prefix.hashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(hashes);
    }
}
