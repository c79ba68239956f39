package org.merlinwood.gateway.front;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.RetryClaim;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.upstream.PrefillResult;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/**
 * Has a prefill instance compute the prompt of a request, and another one if that fails, until none is left to try.
 * Used by the event loop alone. May be started again, for the next decode instance of the request.
 */
final class PrefillCall implements HttpStream {

    /** Margin that the read timeout of a prefill adds to twice the expected duration, in milliseconds. */
    private static final long READ_TIMEOUT_MARGIN_MILLIS = 300;

    private final RequestProcessor processor;
    private final RequestProcessorContext context;
    private final Prompt prompt;
    private final Consumer<PrefillResult> releaser;
    private final Set<String> triedInstances = new HashSet<>();
    private Optional<UpstreamInstance> activeInstance = Optional.empty();
    private Optional<HttpStream> activeRequest = Optional.empty();

    /** Holds the retry of a prompt that is computed once more. */
    private final RetryClaim retry;

    /** Whether an instance has, or may have, accepted the prompt; every further call counts as a retry. */
    private boolean accepted;

    /** Number of times that this call was cancelled; a response to a request from before is not used. */
    private int cancelCount;

    /**
     * Creates a call.
     *
     * @param processor processes the request; gives its time, and writes its log lines
     * @param prompt the prompt
     * @param releaser releases a result that arrives after the call was cancelled or the request has finished
     */
    PrefillCall(RequestProcessor processor, Prompt prompt, Consumer<PrefillResult> releaser) {
        this.processor = processor;
        this.context = processor.context;
        this.prompt = prompt;
        this.releaser = releaser;
        this.retry = new RetryClaim(context.retryAllowance(), processor.service);
    }

    /** Forgets which instances were tried, for the next attempt of the request. */
    void clearTriedInstances() {
        triedInstances.clear();
    }

    /**
     * Starts to compute the prompt.
     *
     * @param decodeInstance the instance to which the result will be transferred
     * @param version software version that the prefill instance must run; empty for any version
     * @param consumer receives the result, or empty if no prefill instance is left or the retry allowance is used up;
     *     not called after the call was cancelled or the request has finished
     */
    void start(UpstreamInstance decodeInstance, Optional<String> version, Consumer<Optional<PrefillResult>> consumer) {
        Optional<UpstreamInstance> choice = context.pool()
                .choosePrefill(
                        processor.service, version, decodeInstance.domain(), prompt.promptTokens(), triedInstances);
        // A request that is blocked, or that its caller may not have served any more, is refused by the processor,
        // before the generation.
        if (choice.isEmpty()
                || processor.isBlocked()
                || processor.callerRefusal().isPresent()
                || context.retryAllowance().isOverdrawn(processor.service)
                || (accepted && !retry.tryAcquire())) {
            retry.giveBack();
            consumer.accept(Optional.empty());
            return;
        }
        send(choice.get(), decodeInstance, result -> {
            if (result.isPresent()) {
                consumer.accept(result);
            } else {
                start(decodeInstance, version, consumer);
            }
        });
    }

    /** Returns the instance that computes the prompt now, or empty if none does. */
    Optional<UpstreamInstance> activeInstance() {
        return activeInstance;
    }

    @Override
    public void cancel() {
        cancelCount++;
        activeRequest.ifPresent(request -> {
            accepted = true;
            retry.markUsed();
            request.cancel();
        });
        retry.giveBack();
        activeRequest = Optional.empty();
        activeInstance = Optional.empty();
    }

    private void send(
            UpstreamInstance instance, UpstreamInstance decodeInstance, Consumer<Optional<PrefillResult>> consumer) {
        triedInstances.add(instance.identifier());
        long readTimeoutMillis = readTimeoutMillis(instance);
        processor
                .decisionLine("prefill")
                .with("instance", instance.identifier())
                .with("for", decodeInstance.identifier())
                .with("queuedTokens", context.pool().queuedPromptTokens(instance.identifier()))
                .with("readTimeoutMillis", readTimeoutMillis)
                .write();
        HttpRequest request = context.protocol()
                .prefill(instance, processor.request, Math.max(1, processor.timeLeftMillis()))
                .withTimeouts(RequestProcessor.CONNECT_TIMEOUT_MILLIS, readTimeoutMillis);
        long startedMillis = context.clock().monotonicMillis();
        int cancelCountAtStart = cancelCount;
        context.pool().beginPrompt(instance.identifier(), prompt.promptTokens());
        activeInstance = Optional.of(instance);
        activeRequest = Optional.of(context.client().execute(instance, request, response -> {
            context.pool().endPrompt(instance.identifier(), prompt.promptTokens());
            if (processor.isFinished() || cancelCount != cancelCountAtStart) {
                readResult(instance, response).ifPresent(releaser);
                return;
            }
            Optional<PrefillResult> result =
                    onResponse(instance, context.clock().monotonicMillis() - startedMillis, response);
            consumer.accept(result);
        }));
    }

    private long readTimeoutMillis(UpstreamInstance instance) {
        long expectedMillis = context.pool().expectedPrefillMillis(instance.identifier(), prompt.promptTokens());
        return READ_TIMEOUT_MARGIN_MILLIS + 2 * expectedMillis;
    }

    private Optional<PrefillResult> readResult(UpstreamInstance instance, Either<Failure, HttpResponse> response) {
        return response.toJavaOptional().flatMap(success -> context.protocol().readPrefill(instance, success));
    }

    private Optional<PrefillResult> onResponse(
            UpstreamInstance instance, long tookMillis, Either<Failure, HttpResponse> response) {
        Optional<PrefillResult> result = readResult(instance, response);
        recordLoad(instance, response);
        activeRequest = Optional.empty();
        activeInstance = Optional.empty();
        response.peek(success -> processor.losses.recordResponding(instance)).peekLeft(failure -> {
            processor.pauseInstance(instance, failure);
            processor.losses.recordLostConnection(instance, failure, Suspicion.WEAK);
        });
        processor
                .decisionLine(result.isPresent() ? "prompt computed" : "prefill failed")
                .with("instance", instance.identifier())
                .with("tookMillis", tookMillis)
                .with("answer", response.fold(Failure::detail, success -> "status " + success.status()))
                .write();
        if (result.isPresent()) {
            accepted = true;
            retry.markUsed();
            context.pool().recordPrefill(instance.identifier(), prompt.promptTokens(), tookMillis);
            context.metrics().recordDuration("prefill_milliseconds", tookMillis);
        } else {
            recordFailure(response);
        }
        return result;
    }

    private void recordLoad(UpstreamInstance instance, Either<Failure, HttpResponse> response) {
        response.toJavaOptional()
                .flatMap(success -> context.protocol()
                        .readHead(success.status(), success.headers())
                        .load())
                .ifPresent(load -> context.pool().recordLoad(instance.identifier(), load));
    }

    /** Counts a failed prefill as a retry, unless it did not reach the instance: the generation is sent in addition. */
    private void recordFailure(Either<Failure, HttpResponse> response) {
        boolean received =
                response.fold(failure -> failure.executionState() != ExecutionState.NOT_RUN, success -> true);
        if (!received) {
            return;
        }
        if (accepted) {
            retry.markUsed();
        } else {
            context.retryAllowance().recordRetry(processor.service);
        }
    }
}
