package io.oleandermoor.standin.engine;

/** The tokens that the engine stand-in generates. They depend only on the prompt and the position. */
public final class EngineTokens {

    private static final int VOCABULARY = 10_000;

    private EngineTokens() {}

    /**
     * Returns the text that the engine stand-in generates for a prompt with one message.
     *
     * @param content the content of the message
     * @param count the number of tokens, at least 0
     * @return the text, in which each token ends with a space
     */
    public static String text(String content, int count) {
        int seed = (content + '\n').hashCode();
        StringBuilder text = new StringBuilder();
        for (int position = 0; position < count; position++) {
            text.append(token(seed, position));
        }
        return text.toString();
    }

    static String token(int seed, int position) {
        int mixed = (seed ^ (position * 0x9E3779B9)) * 0x85EBCA6B;
        return "t" + Math.floorMod(mixed ^ (mixed >>> 15), VOCABULARY) + " ";
    }
}
