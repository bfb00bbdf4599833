package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ResumableEventStreamTest {

    private static String takeNewEvents(ResumableEventStream stream, String bytes) {
        return stream.takeNewEvents(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8))
                .toString(StandardCharsets.UTF_8);
    }

    @Test
    void returnsOnlyCompleteEvents() {
        ResumableEventStream stream = new ResumableEventStream(-1);
        assertThat(takeNewEvents(stream, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(stream.isAtEventBoundary()).isFalse();
        assertThat(takeNewEvents(stream, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(stream.isAtEventBoundary()).isTrue();
        assertThat(stream.lastEventId()).isEqualTo(2);
    }

    /** Guards against an event that is lost or delivered twice when a stream resumes at another instance. */
    @Test
    void skipsDeliveredEventsAndDropsPartialEventAfterResume() {
        ResumableEventStream stream = new ResumableEventStream(-1);
        takeNewEvents(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        stream.resume();
        assertThat(takeNewEvents(stream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
                .isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void acceptsCarriageReturnLineEndings() {
        ResumableEventStream stream = new ResumableEventStream(-1);
        assertThat(takeNewEvents(stream, "id:7\r\ndata: a\r\n\r\n")).hasSize(17);
        assertThat(stream.lastEventId()).isEqualTo(7);
    }
}
