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
    void wholeEventsComeOutHoweverTheBytesArrive(int partLength) {
        EventSplitter splitter = new EventSplitter();
        StringBuilder whole = new StringBuilder();
        for (int start = 0; start < STREAM.length(); start += partLength) {
            String part = STREAM.substring(start, Math.min(STREAM.length(), start + partLength));
            whole.append(text(splitter.take(part.getBytes(StandardCharsets.UTF_8))));
        }
        assertThat(whole).hasToString(STREAM);
        assertThat(splitter.lastEvent()).isEqualTo(OptionalLong.of(13));
        assertThat(splitter.rest()).isEmpty();
    }

    @Test
    void aTornEventIsKeptBack() {
        EventSplitter splitter = new EventSplitter();
        byte[] whole = splitter.take("id: 1\ndata: a\n\nid: 2\ndat".getBytes(StandardCharsets.UTF_8));
        assertThat(text(whole)).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(splitter.lastEvent()).isEqualTo(OptionalLong.of(1));
        assertThat(text(splitter.rest())).isEqualTo("id: 2\ndat");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
