package io.oleandermoor.state.fleet;

/** What a route's requests are, which decides what may be repeated. */
public enum RequestKind {
    /** May run more than once. */
    SAFE,
    /** Runs at most once for each request of a caller. */
    UNSAFE,
    /** Answers with a stream of events; may be repeated only if the route resumes streams. */
    STREAMING;
}
