package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.Chunk;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.FinishReason;
import io.oleandermoor.protocol.message.Finished;
import io.oleandermoor.protocol.message.NotRun;

/** One request of a caller while it runs. Used by one worker at a time. */
final class ActiveRequest {

    private final Dispatch dispatch;

    private final Responder responder;

    private int tokens;

    private boolean ended;

    ActiveRequest(Dispatch dispatch, Responder responder) {
        this.dispatch = dispatch;
        this.responder = responder;
    }

    void chunk(Chunk chunk) {
        if (ended || chunk.getOffset() != tokens) {
            return;
        }
        tokens += chunk.getTokens();
        responder.text(chunk.getText());
    }

    void finished(Finished finished) {
        if (ended) {
            return;
        }
        ended = true;
        if (finished.getReason() == FinishReason.COMPLETE || finished.getReason() == FinishReason.LENGTH) {
            responder.finished(finished, finished.getPromptTokens(), tokens);
        } else if (dispatch.getRepeatable()) {
            responder.failed(CallerError.unknown(502, "upstream_failed", "the upstream did not complete the answer"));
        } else {
            responder.failed(CallerError.unknown(
                    409, "outcome_unknown", "the upstream did not answer; the call may have taken effect"));
        }
    }

    void notRun(NotRun notRun) {
        if (ended) {
            return;
        }
        ended = true;
        responder.failed(CallerError.notRun(
                503,
                "unavailable",
                "no upstream ran the request: " + notRun.getReason().name()));
    }

    void connectionLost() {
        if (ended) {
            return;
        }
        ended = true;
        responder.failed(CallerError.unknown(502, "connection_lost", "the connection to the upstream was lost"));
    }
}
