package io.oleandermoor.state.ledger;

import java.util.List;
import java.util.Optional;

/** Reply of an agent to an entry that attaches to an attempt. */
public sealed interface AttachDecision {

    /**
     * The answer continues with the buffered chunks, followed by the result if the attempt has ended and by new chunks
     * otherwise.
     *
     * @param state the state of the attempt
     * @param chunks the buffered chunks from the requested offset
     * @param result the result, empty while the attempt is waiting or running
     */
    record Replay(AttemptState state, List<TextChunk> chunks, Optional<AttemptResult> result)
            implements AttachDecision {}

    /**
     * The answer cannot be continued: the attempt did not run, its outcome is unknown, or the requested part of the
     * answer is no longer buffered.
     *
     * @param state the state of the attempt
     */
    record Unavailable(AttemptState state) implements AttachDecision {}
}
