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

/** Creates the execution for an execute frame. Immutable. */
public final class ExecutionFactory {

    private static final String METHOD_PATTERN = "[A-Z]{1,20}";
    private static final String PATH_PATTERN = "/[\\x21-\\x7e]*";

    private final HttpClient client;
    private final EngineClient engine;
    private final NetworkAddress upstream;
    private final ControlLoop loop;

    /**
     * Creates a factory for one upstream.
     *
     * @param client sends requests to a plain service
     * @param engine sends requests to a model engine
     * @param upstream address of the upstream
     * @param loop schedules the timeouts of plain requests
     */
    public ExecutionFactory(HttpClient client, EngineClient engine, NetworkAddress upstream, ControlLoop loop) {
        this.client = client;
        this.engine = engine;
        this.upstream = upstream;
        this.loop = loop;
    }

    /**
     * Returns the grant that an execute frame uses.
     *
     * @param frame an execute frame of any kind
     * @return the grant
     */
    public static GrantUse grantUse(Frame frame) {
        return switch (workKind(frame)) {
            case PREFILL -> frame.getExecutePrefill().getUse();
            case DECODE -> frame.getExecuteDecode().getUse();
            default -> frame.getExecutePlain().getUse();
        };
    }

    /**
     * Returns the kind of work that a frame executes.
     *
     * @param frame any frame
     * @return the kind, {@link WorkKind#WORK_KIND_UNSPECIFIED} if it is not an execute frame
     */
    public static WorkKind workKind(Frame frame) {
        return switch (frame.getBodyCase()) {
            case EXECUTE_PREFILL -> WorkKind.PREFILL;
            case EXECUTE_DECODE -> WorkKind.DECODE;
            case EXECUTE_PLAIN -> WorkKind.PLAIN;
            default -> WorkKind.WORK_KIND_UNSPECIFIED;
        };
    }

    /**
     * Creates an execution that has not been started.
     *
     * @param frame the execute frame
     * @param attempt the attempt that it belongs to
     * @param configuration the configuration of this instance
     * @param onFirstToken called on any thread once a decode has produced a token
     * @param onTrialPassed called on any thread once a decode has produced enough tokens to pass its trial
     * @return the execution, or the reason why the frame can't be executed
     */
    Either<Failure, Execution> create(
            Frame frame,
            OpenAttempt attempt,
            ServingConfiguration configuration,
            Runnable onFirstToken,
            Runnable onTrialPassed) {
        if (workKind(frame) != attempt.request().getKind()) {
            return Either.left(notRun(ResultCode.PROTOCOL_VIOLATION, "the grant was issued for another kind of work"));
        }
        ResponseChannel channel = attempt.channel();
        return switch (workKind(frame)) {
            case PREFILL -> Either.right(prefill(frame.getExecutePrefill(), attempt, configuration));
            case DECODE ->
                Either.right(decode(frame.getExecuteDecode(), attempt, configuration, onFirstToken, onTrialPassed));
            default -> plain(frame.getExecutePlain(), attempt, configuration, channel);
        };
    }

    private Execution prefill(ExecutePrefill execute, OpenAttempt attempt, ServingConfiguration configuration) {
        EngineMessages.PrefillRequest request = new EngineMessages.PrefillRequest(
                attempt.attempt().request().toString(), execute.getModel(), execute.getPrompt(), execute.getPriority());
        return new PrefillExecution(engine, upstream, request, configuration.timeoutMillis(), attempt.channel());
    }

    private Execution decode(
            ExecuteDecode execute,
            OpenAttempt attempt,
            ServingConfiguration configuration,
            Runnable onFirstToken,
            Runnable onTrialPassed) {
        EngineMessages.DecodeRequest request = new EngineMessages.DecodeRequest(
                attempt.attempt().request().toString(),
                execute.getModel(),
                execute.getPrompt(),
                List.copyOf(execute.getTokensSoFarList()),
                execute.getSampling().getMaximumTokens(),
                execute.getSampling().getTemperature(),
                execute.getSampling().getSeed(),
                execute.getPriority(),
                execute.hasCache() ? cache(execute.getCache()) : null);
        return new DecodeExecution(
                engine, request, configuration.timeoutMillis(), attempt.channel(), onFirstToken, onTrialPassed);
    }

    private static EngineMessages.CacheReference cache(CacheHandle handle) {
        return new EngineMessages.CacheReference(
                handle.getEngineAddress(), handle.getHandle(), handle.getTokens(), handle.getBytes());
    }

    private Either<Failure, Execution> plain(
            ExecutePlain execute, OpenAttempt attempt, ServingConfiguration configuration, ResponseChannel channel) {
        if (!execute.getMethod().matches(METHOD_PATTERN) || !execute.getPath().matches(PATH_PATTERN)) {
            return Either.left(notRun(ResultCode.MALFORMED_REQUEST, "the HTTP method or path is malformed"));
        }
        if (execute.getBody().size() > configuration.limits().bodyBytes()) {
            return Either.left(notRun(ResultCode.BODY_TOO_LARGE, "the request body exceeds the size limit"));
        }
        long maximumMillis = configuration.timeoutMillis();
        long requestedMillis = Integer.toUnsignedLong(execute.getTimeoutMillis());
        long timeoutMillis = requestedMillis == 0 ? maximumMillis : Math.min(requestedMillis, maximumMillis);
        ConnectionUse reuse = GrantMessages.isKeyed(attempt.request()) ? ConnectionUse.FRESH : ConnectionUse.POOLED;
        HttpRequest request = HttpRequest.of(
                        execute.getMethod(),
                        new InetSocketAddress(upstream.host(), upstream.port()),
                        execute.getPath(),
                        execute.getBody().toByteArray())
                .withHeaders(headers(execute))
                .withTimeouts(Math.min(timeoutMillis, HttpRequest.DEFAULT_CONNECT_TIMEOUT_MILLIS), timeoutMillis)
                .withConnectionUse(reuse);
        return Either.right(new PlainExecution(client, request, timeoutMillis, loop, channel));
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
