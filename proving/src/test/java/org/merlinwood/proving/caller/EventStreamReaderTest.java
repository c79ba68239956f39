package org.merlinwood.proving.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventStreamReaderTest {

    private static final String STREAM = """
        data: {"choices":[{"text":" one","finish_reason":null}]}

        data: {"choices":[{"delta":{"content":" two"},"finish_reason":"length"}]}

        data: [DONE]

        """;

    private final EventStreamReader reader = new EventStreamReader();

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void completeStreamYieldsJoinedText(int partBytes) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < bytes.length; start += partBytes) {
            reader.read(Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + partBytes)));
        }
        assertThat(reader.body().text()).isEqualTo(" one two");
        assertThat(reader.body().finishReason()).isEqualTo("length");
        assertThat(reader.isDone()).isTrue();
    }

    @Test
    void streamWithErrorEventIsNotDone() {
        read("event: error\ndata: {\"error\":{\"code\":4003,\"execution\":\"UNKNOWN\"}}\n\n");
        assertThat(reader.isDone()).isFalse();
        assertThat(reader.body().code()).contains(4003);
        assertThat(reader.terminalEvents()).isEqualTo(1);
    }

    @Test
    void streamWithEventsAfterEndIsNotDone() {
        read(STREAM);
        read(STREAM);
        assertThat(reader.isDone()).isFalse();
        assertThat(reader.terminalEvents()).isEqualTo(2);
    }

    private void read(String text) {
        reader.read(text.getBytes(StandardCharsets.UTF_8));
    }
}
