package io.oleandermoor.state.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The size and the prefix keys of a request's prompt, used to choose the instance that processes it.
 *
 * @param tokens the number of tokens of the whole prompt
 * @param prefixKeys one key per prompt part; each key covers the target, the part and all parts before it
 * @param partTokens the number of tokens of each part
 */
public record Prompt(long tokens, List<Long> prefixKeys, List<Long> partTokens) {

    /** The prompt of a request that does not describe its prompt. */
    public static final Prompt NONE = new Prompt(0, List.of(), List.of());

    private static final long KEY_MULTIPLIER = 1_000_003L;

    /** Copies the lists and checks that they have the same length. */
    public Prompt {
        prefixKeys = List.copyOf(prefixKeys);
        partTokens = List.copyOf(partTokens);
        if (prefixKeys.size() != partTokens.size()) {
            throw new IllegalArgumentException(
                    "prompt has " + prefixKeys.size() + " keys and " + partTokens.size() + " part lengths");
        }
    }

    /**
     * Returns the key of the longest prefix that other requests share: all parts but the last one, which is specific to
     * the request or its session. A prompt of one part is a shared prefix as a whole. Empty if the prompt has no parts.
     */
    public OptionalLong sharedPrefixKey() {
        return prefixKeys.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(prefixKeys.get(Math.max(0, prefixKeys.size() - 2)));
    }

    /** Returns the prompt that a caller describes in its request. */
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
