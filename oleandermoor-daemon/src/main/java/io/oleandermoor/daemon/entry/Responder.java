package io.oleandermoor.daemon.entry;

import io.oleandermoor.protocol.message.Finished;

/** Writes the answer to one caller. Calls do not overlap. */
interface Responder {

    /** Passes on generated text. */
    void text(String text);

    /** Ends the answer after the upstream has ended it. */
    void finished(Finished finished, long promptTokens, long generatedTokens);

    /** Ends the answer with an error. */
    void failed(CallerError error);
}
