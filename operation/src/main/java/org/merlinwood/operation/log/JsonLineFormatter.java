package org.merlinwood.operation.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as a JSON object on one line. Thread-safe. */
final class JsonLineFormatter extends Formatter {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String process;

    JsonLineFormatter(String process) {
        this.process = process;
    }

    @Override
    public String format(LogRecord logRecord) {
        ObjectNode line = MAPPER.createObjectNode()
                .put("time", logRecord.getInstant().toString())
                .put("level", logRecord.getLevel().getName())
                .put("process", process)
                .put("logger", logRecord.getLoggerName())
                .put("message", formatMessage(logRecord));
        if (logRecord.getThrown() != null) {
            line.put("exception", stackTrace(logRecord.getThrown()));
        }
        try {
            return MAPPER.writeValueAsString(line) + System.lineSeparator();
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a log line could not be written", exception);
        }
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
