package org.merlinwood.sidecar.admission;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.sidecar.execution.DecodeExecution;
import org.merlinwood.sidecar.execution.Execution;
import org.merlinwood.sidecar.execution.ForwardedHeaders;
import org.merlinwood.sidecar.execution.PlainExecution;
import org.merlinwood.sidecar.execution.PrefillExecution;
import org.merlinwood.sidecar.execution.ResponseChannel;
import org.merlinwood.sidecar.upstream.EngineClient;
import org.merlinwood.sidecar.upstream.EngineMessages;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.ExecutePlain;
import org.merlinwood.wire.ExecutePrefill;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.WorkKind;

/** Makes the execution that a frame asks for. Immutable. */
public final class ExecutionFactory {

    private static final String METHOD_SHAPE = "[A-Z]{1,20}";
    private static final String PATH_SHAPE = "/[\\x21-\\x7e]*";

    private final HttpClient client;
    private final EngineClient engine;
    private final NetworkAddress upstream;
    private final ControlLoop loop;

    /**
     * Creates a factory for one upstream.
     *
     * @param client calls plain services
     * @param engine calls a model engine
     * @param upstream address of the upstream
     * @param loop ends calls in time
     */
    public ExecutionFactory(HttpClient client, EngineClient engine, NetworkAddress upstream, ControlLoop loop) {
        this.client = client;
        this.engine = engine;
        this.upstream = upstream;
        this.loop = loop;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the grant that an execute uses.
     *
     * @param frame one of the frames that execute
     * @return the grant
     */
    public static GrantUse useOf(Frame frame) {
        return switch (kindOf(frame)) {
            case PREFILL -> frame.getExecutePrefill().getUse();
            case DECODE -> frame.getExecuteDecode().getUse();
            default -> frame.getExecutePlain().getUse();
        };
    }

    /**
     * Returns the kind of work that a frame executes.
     *
     * @param frame any frame
     * @return the kind, unspecified for a frame that executes nothing
     */
    public static WorkKind kindOf(Frame frame) {
        return switch (frame.getBodyCase()) {
            case EXECUTE_PREFILL -> WorkKind.PREFILL;
            case EXECUTE_DECODE -> WorkKind.DECODE;
            case EXECUTE_PLAIN -> WorkKind.PLAIN;
            default -> WorkKind.WORK_KIND_UNSPECIFIED;
        };
    }

    /**
     * Makes an execution that has not begun.
     *
     * @param frame the frame
     * @param attempt the attempt that it belongs to
     * @param view what inventory and rules say
     * @param onProof called once a decode has gone on for some tokens, on any thread
     * @return the execution, or why the frame can't be executed
     */
    Either<Failure, Execution> create(Frame frame, OpenAttempt attempt, ServingConfiguration view, Runnable onProof) {
        if (kindOf(frame) != attempt.request().getKind()) {
            return Either.left(notRun(ResultCode.PROTOCOL_VIOLATION, "the grant was given for other work"));
        }
        ResponseChannel channel = attempt.channel();
        return switch (kindOf(frame)) {
            case PREFILL -> Either.right(prefill(frame.getExecutePrefill(), attempt, view));
            case DECODE -> Either.right(decode(frame.getExecuteDecode(), attempt, view, onProof));
            default -> plain(frame.getExecutePlain(), attempt, view, channel);
        };
    }

    // ------------------------------------------------------------------ internals

    private Execution prefill(ExecutePrefill execute, OpenAttempt attempt, ServingConfiguration view) {
        EngineMessages.PrefillRequest call = new EngineMessages.PrefillRequest(
                attempt.attempt().request().toString(), execute.getModel(), execute.getPrompt(), execute.getPriority());
        return new PrefillExecution(engine, upstream, call, view.timeoutMillis(), attempt.channel());
    }

    private Execution decode(ExecuteDecode execute, OpenAttempt attempt, ServingConfiguration view, Runnable onProof) {
        EngineMessages.DecodeRequest call = new EngineMessages.DecodeRequest(
                attempt.attempt().request().toString(),
                execute.getModel(),
                execute.getPrompt(),
                List.copyOf(execute.getTokensSoFarList()),
                execute.getSampling().getMaximumTokens(),
                execute.getSampling().getTemperature(),
                execute.getSampling().getSeed(),
                execute.getPriority(),
                execute.hasCache() ? cache(execute.getCache()) : null);
        return new DecodeExecution(engine, call, view.timeoutMillis(), attempt.channel(), onProof);
    }

    private static EngineMessages.CacheReference cache(CacheHandle handle) {
        return new EngineMessages.CacheReference(
                handle.getEngineAddress(), handle.getHandle(), handle.getTokens(), handle.getBytes());
    }

    private Either<Failure, Execution> plain(
            ExecutePlain execute, OpenAttempt attempt, ServingConfiguration view, ResponseChannel channel) {
        if (!execute.getMethod().matches(METHOD_SHAPE) || !execute.getPath().matches(PATH_SHAPE)) {
            return Either.left(notRun(ResultCode.MALFORMED_REQUEST, "the method or path is malformed"));
        }
        if (execute.getBody().size() > view.limits().bodyBytes()) {
            return Either.left(notRun(ResultCode.BODY_TOO_LARGE, "the body is over the limit"));
        }
        long ruleMillis = view.timeoutMillis();
        long asked = Integer.toUnsignedLong(execute.getTimeoutMillis());
        long timeoutMillis = asked == 0 ? ruleMillis : Math.min(asked, ruleMillis);
        ConnectionUse use = GrantMessages.isKeyed(attempt.request()) ? ConnectionUse.FRESH : ConnectionUse.POOLED;
        HttpRequest call = HttpRequest.of(
                        execute.getMethod(),
                        new InetSocketAddress(upstream.host(), upstream.port()),
                        execute.getPath(),
                        execute.getBody().toByteArray())
                .withHeaders(headers(execute))
                .withTimeouts(Math.min(timeoutMillis, HttpRequest.DEFAULT_CONNECT_TIMEOUT_MILLIS), timeoutMillis)
                .withConnectionUse(use);
        return Either.right(new PlainExecution(client, call, timeoutMillis, loop, channel));
    }

    private static List<HttpHeader> headers(ExecutePlain execute) {
        return ForwardedHeaders.of(execute.getHeadersList().stream()
                .map(header -> new HttpHeader(header.getName(), header.getValue()))
                .toList());
    }

    private static Failure notRun(ResultCode code, String detail) {
        return Failure.of(code, detail).withExecutionState(ExecutionState.NOT_RUN);
    }
}
