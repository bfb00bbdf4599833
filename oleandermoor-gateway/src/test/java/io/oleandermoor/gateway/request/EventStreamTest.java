package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventStreamTest {

    private static String take(EventStream stream, String bytes) {
        return stream.take(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8)).toString(StandardCharsets.UTF_8);
    }

    @Test
    void passesOnWholeEventsOnly() {
        EventStream stream = new EventStream(-1);
        assertThat(take(stream, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(stream.atBoundary()).isFalse();
        assertThat(take(stream, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(stream.atBoundary()).isTrue();
        assertThat(stream.lastEventId()).isEqualTo(2);
    }

    /** Guards against an event that is lost or delivered twice when a stream goes on at another instance. */
    @Test
    void leavesOutWhatWasDeliveredBeforeAndTheTornEvent() {
        EventStream stream = new EventStream(-1);
        take(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        stream.resume();
        assertThat(take(stream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void readsCarriageReturns() {
        EventStream stream = new EventStream(-1);
        assertThat(take(stream, "id:7\r\ndata: a\r\n\r\n")).hasSize(17);
        assertThat(stream.lastEventId()).isEqualTo(7);
    }
}
