package io.oleandermoor.operator;

import io.oleandermoor.state.configuration.ApiKey;
import java.io.PrintStream;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A key that was just issued. Its text can be printed once and is then forgotten; only the hash stays. Not safe for use
 * by several threads.
 */
public final class IssuedKey {

    private final ApiKey apiKey;
    private @Nullable String text;

    IssuedKey(ApiKey apiKey, String text) {
        this.apiKey = Objects.requireNonNull(apiKey, "apiKey");
        this.text = Objects.requireNonNull(text, "text");
    }

    /**
     * Returns what the configuration keeps of the key.
     *
     * @return the identifier, team and hash
     */
    public ApiKey apiKey() {
        return apiKey;
    }

    /**
     * Prints the key as a caller has to send it, followed by a line break, and forgets it.
     *
     * @param output where to print
     * @throws IllegalStateException if the key was printed before
     */
    public void printOnce(PrintStream output) {
        if (text == null) {
            throw new IllegalStateException("key " + apiKey.id() + " was printed before");
        }
        output.println(text);
        text = null;
    }

    /** Returns the identifier and team, never the key. */
    @Override
    public String toString() {
        return "IssuedKey[id=" + apiKey.id() + ", team=" + apiKey.team() + "]";
    }
}
