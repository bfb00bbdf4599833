package io.oleandermoor.state.fleet;

/** The kind of a route's requests, which decides whether they may be repeated. */
public enum RequestKind {
    /** The request may run more than once. */
    SAFE,
    /** The request runs at most once for each request of a caller. */
    UNSAFE,
    /** The response is an event stream; the request may be repeated only if the route resumes streams. */
    STREAMING;
}
