package org.merlinwood.proving.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Parses the server-sent events of one completion. Not thread-safe: used by one thread at a time. */
final class EventStreamReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private String finishReason = "";
    private Optional<Integer> code = Optional.empty();
    private Optional<String> execution = Optional.empty();
    private boolean done;
    private int terminalEvents;
    private int eventsAfterEnd;

    void read(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                readLine(line.toString(StandardCharsets.UTF_8).strip());
                line.reset();
            } else {
                line.write(each);
            }
        }
    }

    boolean hasText() {
        return !text.isEmpty();
    }

    /** Returns whether the stream ended with {@code [DONE]} and no events followed. */
    boolean isDone() {
        return done && eventsAfterEnd == 0;
    }

    int terminalEvents() {
        return terminalEvents;
    }

    ResponseBody body() {
        return new ResponseBody(text.toString(), finishReason, code, execution);
    }

    private void readLine(String content) {
        if (!content.startsWith(DATA)) {
            return;
        }
        if (terminalEvents > 0) {
            eventsAfterEnd++;
        }
        String data = content.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            done = true;
            terminalEvents++;
        } else {
            readEvent(data);
        }
    }

    private void readEvent(String data) {
        ResponseBody event;
        try {
            event = ResponseBody.of(MAPPER.readTree(data));
        } catch (JsonProcessingException exception) {
            text.append("<not JSON: ").append(data).append('>');
            return;
        }
        text.append(event.text());
        finishReason = event.finishReason().isEmpty() ? finishReason : event.finishReason();
        if (event.code().isPresent()) {
            code = event.code();
            execution = event.execution();
            terminalEvents++;
        }
    }
}
