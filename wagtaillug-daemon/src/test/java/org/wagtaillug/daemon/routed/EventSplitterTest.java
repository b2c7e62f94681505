package org.wagtaillug.daemon.routed;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private final EventSplitter splitter = new EventSplitter();

    private String take(String text) {
        byte[] whole = splitter.take(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(whole, StandardCharsets.UTF_8);
    }

    @Test
    void onlyWholeEventsComeOut() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.atBoundary()).isFalse();
        assertThat(splitter.lastId()).contains("1");
        assertThat(take("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(splitter.atBoundary()).isTrue();
        assertThat(splitter.lastId()).contains("2");
    }

    @Test
    void anEventMayBeCutAtAnyByte() {
        String text = "id: 7\r\ndata: a\r\n\r\n";
        StringBuilder out = new StringBuilder();
        for (char each : text.toCharArray()) {
            out.append(take(String.valueOf(each)));
        }
        assertThat(out).hasToString(text);
        assertThat(splitter.lastId()).contains("7");
    }
}
