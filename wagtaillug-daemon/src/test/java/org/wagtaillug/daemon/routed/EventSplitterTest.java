package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    private String append(String text) {
        byte[] complete = splitter.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(complete, StandardCharsets.UTF_8);
    }

    @Test
    void returnsOnlyCompleteEvents() {
        assertThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.atBoundary()).isFalse();
        assertThat(splitter.lastEventId()).contains("1");
        assertThat(append("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.atBoundary()).isTrue();
        assertThat(splitter.lastEventId()).contains("2");
    }

    /** Guards against an attempt that resumes from the beginning after an event with an empty id. */
    @Test
    void anEmptyIdDoesNotReplaceTheLastOne() {
        append("id: 6\ndata: a\n\nid:\ndata: b\n\n");
        assertThat(splitter.lastEventId()).contains("6");
    }

    @Test
    void anEventMayBeSplitAtAnyByte() {
        String text = "id: 7\r\ndata: a\r\n\r\n";
        StringBuilder events = new StringBuilder();
        for (char next : text.toCharArray()) {
            events.append(append(String.valueOf(next)));
        }
        assertThat(events).hasToString(text);
        assertThat(splitter.lastEventId()).contains("7");
    }
}
