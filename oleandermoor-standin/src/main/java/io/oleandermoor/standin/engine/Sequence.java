package io.oleandermoor.standin.engine;

import io.oleandermoor.transport.http.EventStream;
import java.nio.charset.StandardCharsets;

/**
 * One running completion. The tokens depend only on the prompt and their position, so that a resumed stream can be
 * checked.
 */
final class Sequence {

    private static final int VOCABULARY = 10_000;

    private final EventStream stream;

    private final int seed;

    private final int promptTokens;

    private final int firstPosition;

    private final int maximumTokens;

    private int generated;

    private volatile boolean cancelled;

    Sequence(EventStream stream, int seed, int promptTokens, int firstPosition, int maximumTokens) {
        this.stream = stream;
        this.seed = seed;
        this.promptTokens = promptTokens;
        this.firstPosition = firstPosition;
        this.maximumTokens = maximumTokens;
    }

    static String token(int seed, int position) {
        int mixed = (seed ^ (position * 0x9E3779B9)) * 0x85EBCA6B;
        return "t" + Math.floorMod(mixed ^ (mixed >>> 15), VOCABULARY) + " ";
    }

    void cancel() {
        cancelled = true;
    }

    /** Generates one token and returns whether the sequence has ended. */
    boolean step() {
        if (cancelled) {
            return true;
        }
        if (generated < maximumTokens) {
            String text = token(seed, firstPosition + generated);
            generated++;
            send("{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"},\"finish_reason\":null}],"
                    + usage() + "}");
        }
        if (generated < maximumTokens) {
            return false;
        }
        send("{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]," + usage() + "}");
        stream.send("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        stream.end();
        return true;
    }

    private String usage() {
        return "\"usage\":{\"prompt_tokens\":" + promptTokens + ",\"completion_tokens\":" + generated + "}";
    }

    private void send(String data) {
        stream.send(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
