package io.oleandermoor.standin.engine;

import io.oleandermoor.transport.http.EventStream;
import java.nio.charset.StandardCharsets;

/**
 * One completion in the batch. The tokens depend only on the prompt and their position, so that a resumed stream can be
 * checked token by token.
 */
final class Sequence {

    private final EventStream stream;

    private final Prompt prompt;

    private final int priority;

    private final int maximumTokens;

    private int prefillSteps;

    private int generated;

    private volatile boolean cancelled;

    Sequence(EventStream stream, Prompt prompt, int priority, int maximumTokens) {
        this.stream = stream;
        this.prompt = prompt;
        this.priority = priority;
        this.maximumTokens = maximumTokens;
    }

    int priority() {
        return priority;
    }

    Prompt prompt() {
        return prompt;
    }

    void setPrefillSteps(int steps) {
        prefillSteps = steps;
    }

    void cancel() {
        cancelled = true;
    }

    /** Runs one step and returns whether the sequence has ended. */
    boolean step() {
        if (cancelled) {
            return true;
        }
        if (prefillSteps > 0) {
            prefillSteps--;
            return false;
        }
        StringBuilder events = new StringBuilder();
        generate(events);
        return finish(events);
    }

    /** Runs to the end and writes all events at once. */
    void complete() {
        StringBuilder events = new StringBuilder();
        while (generated < maximumTokens) {
            generate(events);
        }
        finish(events);
    }

    private void generate(StringBuilder events) {
        String text = EngineTokens.token(prompt.seed(), prompt.resumedTokens() + generated);
        generated++;
        events.append("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
                .append(text)
                .append("\"},\"finish_reason\":null}],");
        appendUsage(events);
    }

    private boolean finish(StringBuilder events) {
        boolean ended = generated >= maximumTokens;
        if (ended) {
            events.append("data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}],");
            appendUsage(events);
            events.append("data: [DONE]\n\n");
        }
        stream.send(events.toString().getBytes(StandardCharsets.UTF_8));
        if (ended) {
            stream.end();
        }
        return ended;
    }

    private void appendUsage(StringBuilder events) {
        events.append("\"usage\":{\"prompt_tokens\":")
                .append(prompt.words().length)
                .append(",\"completion_tokens\":")
                .append(generated)
                .append("}}\n\n");
    }
}
