package io.oleandermoor.state.ledger;

import java.util.List;

/**
 * Result of an attempt that started and has ended.
 *
 * @param reason the reason why the attempt ended
 * @param status the HTTP status of the upstream, 0 if there was none
 * @param headers the header fields of the response
 * @param body the body of the response, empty for a stream
 * @param endOffset the position after the last token of the whole answer, 0 if the answer was not streamed
 */
public record AttemptResult(FinishReason reason, int status, List<HeaderField> headers, Body body, int endOffset) {

    /** Copies the header fields. */
    public AttemptResult {
        headers = List.copyOf(headers);
    }
}
