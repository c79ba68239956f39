package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventSplitterTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 7\nid: 13\ndata: c\n\n";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void completeEventsAreReturnedForAnyChunkSize(int chunkLength) {
        EventSplitter splitter = new EventSplitter();
        StringBuilder completeEvents = new StringBuilder();
        for (int start = 0; start < STREAM.length(); start += chunkLength) {
            String chunk = STREAM.substring(start, Math.min(STREAM.length(), start + chunkLength));
            completeEvents.append(text(splitter.split(chunk.getBytes(StandardCharsets.UTF_8))));
        }
        assertThat(completeEvents).hasToString(STREAM);
        assertThat(splitter.lastEventNumber()).isEqualTo(OptionalLong.of(13));
        assertThat(splitter.isInsideEvent()).isFalse();
    }

    @Test
    void incompleteEventIsBuffered() {
        EventSplitter splitter = new EventSplitter();
        byte[] completeEvents = splitter.split("id: 1\ndata: a\n\nid: 2\ndat".getBytes(StandardCharsets.UTF_8));
        assertThat(text(completeEvents)).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.lastEventNumber()).isEqualTo(OptionalLong.of(1));
        assertThat(splitter.isInsideEvent()).isTrue();
        assertThat(text(splitter.split("a: b\n\n".getBytes(StandardCharsets.UTF_8))))
                .isEqualTo("id: 2\ndata: b\n\n");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
