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

    @ParameterizedTest
    @ValueSource(
            strings = {
                ": comment\n\n",
                ":\n\n",
                "data\n\n",
                "data:\nid\n\n",
                "data:a\ndata: b: c\n\n",
                "weight-versions: 7\nid: 1\ndata: a\n\n",
                "x_1: a\r\n\r\n",
                "data: \u0000\u00ff{<\n\n",
                "data: \u00c5 \u0085 \u2028\n\n",
                "\n",
                "retry: 10\n\n\n\ndata: a\n\n"
            })
    void unusualEventIsReturned(String events) {
        EventSplitter splitter = new EventSplitter();
        assertThat(text(splitter.split(events.getBytes(StandardCharsets.UTF_8))))
                .isEqualTo(events);
        assertThat(splitter.isMalformed()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "1f\r\ndata: a\n\n",
                "data: a\n1f\n\n",
                "1f;a:b\n\n",
                "0\r\n\r\n",
                "datas\n\n",
                " data: a\n\n",
                "{\"a\":1}\n\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
                "data: a\rb\n\n\u0000: a\n\n"
            })
    void eventWithALineThatIsNoFieldIsNotReturned(String events) {
        EventSplitter splitter = new EventSplitter();
        splitter.split("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
        byte[] bytes = ("id: 2\ndata: b\n\n" + events).getBytes(StandardCharsets.UTF_8);
        assertThat(splitter.split(bytes)).isEmpty();
        assertThat(splitter.isMalformed()).isTrue();
        assertThat(splitter.lastEventNumber()).isEqualTo(OptionalLong.of(1));
        splitter.discardIncomplete();
        assertThat(splitter.isMalformed()).isFalse();
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
