package io.oleandermoor.replay;

import io.oleandermoor.state.finding.InvalidInputException;
import java.io.IOException;
import java.util.Optional;

/** Gives the events of a trace one after the other, so that a trace never has to fit in memory. */
public interface TraceSource extends AutoCloseable {

    /**
     * Returns the header.
     *
     * @return what exists when the trace starts
     */
    Deployment deployment();

    /**
     * Returns the next event.
     *
     * @return the event, empty at the end
     * @throws IOException if the trace cannot be read
     * @throws InvalidInputException if the trace has errors; thrown at its end, or after many errors
     */
    Optional<TraceEvent> next() throws IOException, InvalidInputException;

    /** Releases the file, if there is one. */
    @Override
    default void close() throws IOException {
        // A generated trace holds nothing.
    }
}
