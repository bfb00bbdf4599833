package io.oleandermoor.state.ledger;

import java.util.List;
import java.util.Optional;

/** What an agent answers to an entry that attaches to an attempt. */
public sealed interface AttachDecision {

    /**
     * The answer continues: first the buffered chunks, then the result if the attempt has ended, else what follows.
     *
     * @param state the state of the attempt
     * @param chunks the buffered chunks from the wanted offset
     * @param result the result, empty while the attempt waits or runs
     */
    record Replay(AttemptState state, List<TextChunk> chunks, Optional<AttemptResult> result)
            implements AttachDecision {}

    /**
     * The answer cannot be continued: the attempt did not run, its outcome is unknown, or the wanted part of the answer
     * is no longer buffered.
     *
     * @param state the state of the attempt
     */
    record Unavailable(AttemptState state) implements AttachDecision {}
}
