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

/** Sends a decode request to the engine and streams the tokens to the entry. */
public final class DecodeExecution extends HttpExecution {

    private static final int OK = 200;

    /** A request that crashes the engine in its first steps does so before this number of tokens. */
    private static final int TRIAL_TOKENS = 8;

    private final EngineClient engine;
    private final EngineMessages.DecodeRequest request;
    private final long readTimeoutMillis;
    private final ResponseChannel channel;
    private final DecodeResponseReader reader;
    private final Runnable onFirstToken;
    private final Runnable onTrialPassed;
    private boolean firstTokenReported;
    private int status;
    private int trialTokensLeft = TRIAL_TOKENS;

    /**
     * Creates an execution that has not been started.
     *
     * @param engine sends the request
     * @param request the decode request
     * @param readTimeoutMillis longest pause between two parts of the response, in milliseconds
     * @param channel sends the response on the exchange
     * @param onFirstToken called at most once, on any thread, when the engine has produced a token
     * @param onTrialPassed called at most once, on any thread, when the engine has produced {@value #TRIAL_TOKENS}
     *     tokens
     */
    public DecodeExecution(
            EngineClient engine,
            EngineMessages.DecodeRequest request,
            long readTimeoutMillis,
            ResponseChannel channel,
            Runnable onFirstToken,
            Runnable onTrialPassed) {
        this.engine = engine;
        this.request = request;
        this.readTimeoutMillis = readTimeoutMillis;
        this.channel = channel;
        this.onFirstToken = onFirstToken;
        this.onTrialPassed = onTrialPassed;
        this.reader = new DecodeResponseReader(request.tokensSoFar().size());
        if (!request.tokensSoFar().isEmpty()) {
            markBegun();
        }
    }

    @Override
    HttpStream open() {
        return engine.decode(request, readTimeoutMillis, this);
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> headers) {
        status = responseStatus;
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
            return failedOutcome(Failure.of(
                    ResultCode.UPSTREAM_TRUNCATED,
                    "the engine ended the response after " + reader.nextOffset() + " tokens, without an end line"));
        }
        return new ExecutionOutcome.Completed();
    }

    private void countTrialTokens(int tokens) {
        boolean before = trialTokensLeft > 0;
        trialTokensLeft -= before ? tokens : 0;
        if (before && trialTokensLeft <= 0) {
            onTrialPassed.run();
        }
    }

    private void begin() {
        markBegun();
        if (!firstTokenReported) {
            firstTokenReported = true;
            onFirstToken.run();
        }
    }

    private void relay(DecodeLine line) {
        switch (line) {
            case DecodeLine.Tokens tokens -> {
                begin();
                channel.tokens(tokens.offset(), tokens.tokens());
                countTrialTokens(tokens.tokens().size());
            }
            case DecodeLine.End end -> channel.complete(end.length(), end.finishReason());
        }
    }
}
