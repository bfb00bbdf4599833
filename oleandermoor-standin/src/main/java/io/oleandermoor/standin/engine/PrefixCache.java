package io.oleandermoor.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers prompt prefixes in blocks of words, least recently used blocks leave first. Not safe for several threads.
 */
final class PrefixCache {

    static final int BLOCK_TOKENS = 16;

    private static final int CAPACITY_BLOCKS = 4096;

    private final Map<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Returns how many leading tokens were cached, and caches all complete blocks of the prompt. */
    int admit(String model, String[] words, List<Integer> stored) {
        int hash = model.hashCode();
        int cached = 0;
        boolean leading = true;
        for (int start = 0; start + BLOCK_TOKENS <= words.length; start += BLOCK_TOKENS) {
            for (int index = start; index < start + BLOCK_TOKENS; index++) {
                hash = 31 * hash + words[index].hashCode();
            }
            leading = leading && blocks.containsKey(hash);
            if (leading) {
                cached += BLOCK_TOKENS;
            }
            if (blocks.put(hash, Boolean.TRUE) == null) {
                stored.add(hash);
            }
        }
        evict();
        return cached;
    }

    private void evict() {
        List<Integer> eldest = new ArrayList<>();
        int surplus = blocks.size() - CAPACITY_BLOCKS;
        for (Integer block : blocks.keySet()) {
            if (eldest.size() >= surplus) {
                break;
            }
            eldest.add(block);
        }
        eldest.forEach(blocks::remove);
    }
}
