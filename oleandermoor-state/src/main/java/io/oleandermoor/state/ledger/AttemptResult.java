package io.oleandermoor.state.ledger;

import java.util.List;

/**
 * End of an attempt that had started.
 *
 * @param reason why it ended
 * @param status the HTTP status of the upstream, 0 if there was none
 * @param headers the header of the answer
 * @param body the body, empty for a stream
 * @param endOffset position after the last token of the whole answer, 0 if it was not streamed
 */
public record AttemptResult(FinishReason reason, int status, List<HeaderField> headers, Body body, int endOffset) {

    /** Copies the header. */
    public AttemptResult {
        headers = List.copyOf(headers);
    }
}
