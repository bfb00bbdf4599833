package io.oleandermoor.daemon.entry;

import io.oleandermoor.state.ledger.AttemptResult;
import io.oleandermoor.state.ledger.StoredResponse;

/** Writes the answer to one caller. Calls do not overlap. */
interface Responder {

    /** Passes on generated text. */
    void text(String text);

    /** Ends the answer after the upstream has ended it. */
    void finished(AttemptResult result, long promptTokens, long generatedTokens);

    /** Answers with the stored answer of an earlier call. */
    void replay(StoredResponse answer);

    /** Ends the answer with an error. */
    void failed(CallerError error);
}
