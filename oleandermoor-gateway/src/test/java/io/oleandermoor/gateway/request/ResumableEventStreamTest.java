package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.oleandermoor.state.dispatch.EventId;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResumableEventStreamTest {

    private static String takeNewEvents(ResumableEventStream stream, String bytes) {
        return stream.takeNewEvents(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8))
                .toString(StandardCharsets.UTF_8);
    }

    @Test
    void returnsOnlyCompleteEvents() {
        ResumableEventStream stream = new ResumableEventStream(Optional.empty());
        assertThat(takeNewEvents(stream, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(stream.isAtEventBoundary()).isFalse();
        assertThat(takeNewEvents(stream, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(stream.isAtEventBoundary()).isTrue();
        assertThat(stream.lastEventId()).isEqualTo(EventId.parse("2"));
    }

    /** Guards against an event that is lost or delivered twice when a stream resumes at another instance. */
    @Test
    void skipsDeliveredEventsAndDropsPartialEventAfterResume() {
        ResumableEventStream stream = new ResumableEventStream(Optional.empty());
        takeNewEvents(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        stream.resume();
        assertThat(takeNewEvents(stream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
                .isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void acceptsCarriageReturnLineEndings() {
        ResumableEventStream stream = new ResumableEventStream(Optional.empty());
        assertThat(takeNewEvents(stream, "id:7\r\ndata: a\r\n\r\n")).hasSize(17);
        assertThat(stream.lastEventId()).isEqualTo(EventId.parse("7"));
    }

    /** Guards against events beyond the range of a long that count as delivered or as having no id. */
    @Test
    void comparesIdsOfAnySize() {
        ResumableEventStream stream = new ResumableEventStream(EventId.parse("9223372036854775807"));
        String events = "id: 9223372036854775808\ndata: a\n\nid: 18446744073709551617\ndata: b\n\n";
        assertThat(takeNewEvents(stream, "id: 9223372036854775807\ndata: z\n\n" + events))
                .isEqualTo(events);
        assertThat(stream.canResume()).isTrue();
        stream.resume();
        assertThat(takeNewEvents(stream, events + "id: 18446744073709551618\ndata: c\n\n"))
                .isEqualTo("id: 18446744073709551618\ndata: c\n\n");
    }

    /** Guards against a stream that resumes after an event that its instance never numbered so. */
    @ParameterizedTest
    @ValueSource(strings = {"", " ", "x7", "7x", "7.5", "-7", "1e3", "7 8", "\u0667"})
    void takesAnIdThatIsNoWholeNumberForNone(String id) {
        ResumableEventStream stream = new ResumableEventStream(Optional.empty());
        assertThat(takeNewEvents(stream, "id:" + id + "\ndata: a\n\n")).isNotEmpty();
        assertThat(stream.lastEventId()).isEmpty();
        assertThat(stream.canResume()).isFalse();
    }
}
