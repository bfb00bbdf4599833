package io.oleandermoor.gateway.soak;

import java.util.ArrayList;
import java.util.List;

/** The events of a stream, which depend only on the id of the request, so that any instance can resume it. */
final class SoakEvents {

    private static final int MAXIMUM_EVENTS = 7;

    private SoakEvents() {}

    /** Returns the events behind the one with the given number. */
    static List<String> after(String requestId, int lastEvent) {
        int count = 1 + Math.floorMod(requestId.hashCode(), MAXIMUM_EVENTS);
        List<String> events = new ArrayList<>();
        for (int event = lastEvent + 1; event <= count; event++) {
            events.add("id: " + event + "\ndata: " + requestId + " " + event + "\n\n");
        }
        return events;
    }
}
