package io.oleandermoor.transport.http;

/** A response of server-sent events. Calls must not overlap; events arrive in the order of the calls. */
public interface EventStream {

    /**
     * Sends one event or several.
     *
     * @param events complete events in the format of server-sent events, each ended by an empty line
     */
    void send(byte[] events);

    /** Ends the response. */
    void end();
}
