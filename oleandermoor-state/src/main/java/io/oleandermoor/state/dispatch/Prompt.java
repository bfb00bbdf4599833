package io.oleandermoor.state.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The prompt of a request as far as it matters for where it is read.
 *
 * @param tokens the length of the whole prompt
 * @param prefixKeys one key for each part that requests may share; a key covers all parts before it and the target
 * @param partTokens the length of each part
 */
public record Prompt(long tokens, List<Long> prefixKeys, List<Long> partTokens) {

    /** The prompt of a request that states none. */
    public static final Prompt NONE = new Prompt(0, List.of(), List.of());

    private static final long KEY_MULTIPLIER = 1_000_003L;

    /** Copies the parts. */
    public Prompt {
        prefixKeys = List.copyOf(prefixKeys);
        partTokens = List.copyOf(partTokens);
        if (prefixKeys.size() != partTokens.size()) {
            throw new IllegalArgumentException(
                    "prompt has " + prefixKeys.size() + " keys and " + partTokens.size() + " part lengths");
        }
    }

    /**
     * Returns the key of the longest beginning that other requests have too: all parts but the last one, which belongs
     * to the request or its session. Empty if the request states no parts.
     */
    public OptionalLong sharedPrefixKey() {
        return prefixKeys.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(prefixKeys.get(Math.max(0, prefixKeys.size() - 2)));
    }

    /** Returns the prompt that a caller states. */
    public static Prompt of(CallerRequest caller) {
        List<Long> keys = new ArrayList<>();
        List<Long> partTokens = new ArrayList<>();
        long key = caller.target().map(Object::hashCode).orElse(0);
        for (CallerRequest.PromptPart part : caller.promptParts()) {
            key = key * KEY_MULTIPLIER + part.id().hashCode();
            keys.add(key);
            partTokens.add(part.tokens());
        }
        return new Prompt(caller.tokens().map(CallerRequest.Tokens::prompt).orElse(0L), keys, partTokens);
    }
}
