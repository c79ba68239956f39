package org.merlinwood.standin.engine.impl;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.impl.DecodeStream.StreamEvent;
import org.merlinwood.standin.engine.impl.EngineBodies.EndLine;
import org.merlinwood.standin.engine.impl.EngineBodies.TokensLine;
import org.merlinwood.standin.engine.impl.EngineFaults.AnswerFault;
import org.merlinwood.standin.impl.Json;
import org.merlinwood.standin.impl.StandInServer;

/** Writes the response of one stream, with the fault that a test has set. Used by one thread. */
final class DecodeResponse {

    private static final byte[] GARBAGE = "<html>{{ not a line of tokens\n".getBytes(StandardCharsets.UTF_8);

    private final HttpServerExchange exchange;
    private final DecodeStream stream;
    private final String finishReason;
    private final EngineFaults faults;
    private final boolean cancelOnDisconnect;
    private final AnswerFault fault;

    DecodeResponse(
            HttpServerExchange exchange,
            DecodeStream stream,
            String finishReason,
            EngineFaults faults,
            boolean cancelOnDisconnect) {
        this.exchange = exchange;
        this.stream = stream;
        this.finishReason = finishReason;
        this.faults = faults;
        this.cancelOnDisconnect = cancelOnDisconnect;
        this.fault = faults.takeNextFault();
    }

    void write() throws InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        try {
            writeLines(exchange.getOutputStream());
        } catch (IOException exception) {
            StandInServer.abort(exchange);
            if (cancelOnDisconnect) {
                stream.work().end(EngineRun.Outcome.CANCELLED);
            }
        }
    }

    private void writeLines(OutputStream output) throws IOException, InterruptedException {
        output.flush();
        for (int written = 0; ; written++) {
            StreamEvent event = stream.next();
            faults.awaitNotSilent();
            if (fault != AnswerFault.NONE && written == faults.tokensBeforeFault()) {
                writeFault(output);
                return;
            }
            switch (event) {
                case StreamEvent.Token token -> {
                    output.write(Json.line(new TokensLine(token.offset(), List.of(token.text()))));
                    output.flush();
                }
                case StreamEvent.Ended ended -> {
                    writeEnd(output, ended.complete());
                    return;
                }
            }
        }
    }

    private void writeEnd(OutputStream output, boolean complete) throws IOException {
        if (!complete) {
            StandInServer.abort(exchange);
            return;
        }
        output.write(Json.line(new EndLine(true, stream.length(), finishReason)));
        output.close();
    }

    private void writeFault(OutputStream output) throws IOException {
        switch (fault) {
            case NONE -> {}
            case CUT -> StandInServer.abort(exchange);
            case TRUNCATE -> output.close();
            case GARBAGE -> {
                output.write(GARBAGE);
                output.close();
            }
        }
    }
}
