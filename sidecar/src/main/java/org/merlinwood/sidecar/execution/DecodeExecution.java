package org.merlinwood.sidecar.execution;

import java.util.List;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpStream;
import org.merlinwood.sidecar.upstream.DecodeLine;
import org.merlinwood.sidecar.upstream.DecodeResponseReader;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;

/** Streams tokens from the engine to the entry. */
public final class DecodeExecution extends HttpExecution {

    private static final int OK = 200;

    /** An engine that a request ends at its first steps has ended before so many tokens. */
    private static final int PROOF_TOKENS = 8;

    private final EngineClient engine;
    private final EngineMessages.DecodeRequest call;
    private final long silenceMillis;
    private final ResponseChannel channel;
    private final DecodeResponseReader reader;
    private final Runnable onProof;
    private int status;
    private int tokensLeftToProof = PROOF_TOKENS;

    /**
     * Creates an execution that has not begun.
     *
     * @param engine the engine
     * @param call what to generate
     * @param silenceMillis how long the engine may be silent, in milliseconds
     * @param channel the exchange
     * @param onProof called once, on any thread, when the engine has lived through the first {@value #PROOF_TOKENS}
     *     tokens
     */
    public DecodeExecution(
            EngineClient engine,
            EngineMessages.DecodeRequest call,
            long silenceMillis,
            ResponseChannel channel,
            Runnable onProof) {
        this.engine = engine;
        this.call = call;
        this.silenceMillis = silenceMillis;
        this.channel = channel;
        this.onProof = onProof;
        this.reader = new DecodeResponseReader(call.tokensSoFar().size());
    }

    @Override
    HttpStream open() {
        return engine.decode(call, silenceMillis, this);
    }

    @Override
    public void onHead(int answerStatus, List<HttpHeader> headers) {
        status = answerStatus;
        if (status == OK) {
            channel.head(status, List.of(), false);
        }
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (status == OK) {
            reader.read(bytes).peek(lines -> lines.forEach(this::relay)).peekLeft(this::giveUp);
        }
    }

    @Override
    ExecutionOutcome onResponse() {
        if (status != OK) {
            return new ExecutionOutcome.Failed(EngineClient.refusal(status), false);
        }
        if (!reader.isWhole()) {
            return failed(Failure.of(
                    ResultCode.UPSTREAM_TRUNCATED,
                    "the engine closed the answer after " + reader.nextOffset() + " tokens"));
        }
        return new ExecutionOutcome.Completed();
    }

    private void prove(int tokens) {
        boolean before = tokensLeftToProof > 0;
        tokensLeftToProof -= before ? tokens : 0;
        if (before && tokensLeftToProof <= 0) {
            onProof.run();
        }
    }

    private void relay(DecodeLine line) {
        switch (line) {
            case DecodeLine.Tokens tokens -> {
                channel.tokens(tokens.offset(), tokens.tokens());
                prove(tokens.tokens().size());
            }
            case DecodeLine.End end -> channel.complete(end.length(), end.finishReason());
        }
    }
}
