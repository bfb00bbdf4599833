package io.oleandermoor.transport.settings;

/** What an agent runs beside. */
public enum UpstreamKind {
    /** An engine that serves models. */
    ENGINE,
    /** A replica of a plain service. */
    SERVICE
}
