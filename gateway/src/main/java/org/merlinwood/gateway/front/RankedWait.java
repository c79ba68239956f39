package org.merlinwood.gateway.front;

import java.util.Optional;
import java.util.Set;
import org.merlinwood.gateway.decision.MemoryWaitPolicy;
import org.merlinwood.gateway.decision.PendingGeneration;
import org.merlinwood.gateway.decision.ResponseLengthEstimate;
import org.merlinwood.gateway.decision.WaitRanking;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.route.EngineLimits;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Ranks one stream among all requests that compete for the memory of its service, and counts by priority what comes of
 * it. Decides nothing if the ranking of waiting requests is switched off. Used by the event loop alone.
 */
final class RankedWait {

    /** Time from getting memory to the first event before any prefill was measured, in milliseconds. */
    private static final long USUAL_FIRST_EVENT_MILLIS = 250;

    /** Time from a computed prompt to the first event, in milliseconds. */
    private static final long TRANSFER_MILLIS = 60;

    /** Upper bound of the priority in the names of metrics. */
    private static final int MAXIMUM_PRIORITY = 9;

    private final StreamRequestProcessor processor;
    private final RequestProcessorContext context;
    private final EngineLimits limits;
    private boolean arrived;
    private boolean waited;
    private boolean late;

    /**
     * Creates the rank of a stream that has not been placed yet.
     *
     * @param processor processes the request
     * @param limits limits of the service
     */
    RankedWait(StreamRequestProcessor processor, EngineLimits limits) {
        this.processor = processor;
        this.context = processor.context;
        this.limits = limits;
    }

    /** Returns whether waiting requests are ranked. */
    boolean active() {
        return context.memoryWaitQueues().competition().ranking();
    }

    /**
     * Returns whether a new request has to wait, since others rank before it. Only the first call may return true:
     * later on, the request is tried in its turn.
     */
    boolean queuesBehindOthers(boolean promptComputed, Set<String> excluded) {
        if (arrived || !active()) {
            return false;
        }
        arrived = true;
        WaitRanking.Request request = request(promptComputed);
        return !request.begun()
                && (context.memoryWaitQueues()
                                .competition()
                                .queueOf(processor.service)
                                .hasBefore(request)
                        || !mayTry(promptComputed, excluded));
    }

    /** Returns whether the request may try to get memory now, or leaves it to others. */
    boolean mayTry(boolean promptComputed, Set<String> excluded) {
        return !active()
                || WaitRanking.mayTry(
                        request(promptComputed),
                        context.memoryWaitQueues().competition().competition(processor.service, processor.priority()),
                        () -> context.pool()
                                .memoryRoom()
                                .of(processor.service, processor.pendingGeneration(), limits, excluded),
                        context.clock().monotonicMillis());
    }

    /** Decides whether the request waits for memory or is refused. */
    MemoryWaitPolicy.Decision decide(MemoryWaitPolicy.Situation situation, boolean promptComputed) {
        if (!active()) {
            return MemoryWaitPolicy.decide(situation);
        }
        MemoryWaitPolicy.Decision decision = MemoryWaitPolicy.decideRanked(
                situation, request(promptComputed), context.clock().monotonicMillis());
        if (decision instanceof MemoryWaitPolicy.Decision.Refuse) {
            count("refused");
        } else {
            recordWait(promptComputed);
        }
        return decision;
    }

    /** Returns the request as it is ranked. */
    WaitRanking.Request request(boolean promptComputed) {
        PendingGeneration pending = processor.pendingGeneration();
        Prompt prompt = pending.prompt();
        int remainingTokens = ResponseLengthEstimate.remainingTokens(prompt, pending.generatedTokens());
        return new WaitRanking.Request(
                processor.priority(),
                processor.isContinuation(),
                processor.request.arrivedMillis(),
                processor.route.targetMillis(),
                promptComputed ? TRANSFER_MILLIS : firstEventMillis(pending),
                pending.startTokens() + remainingTokens / 2L);
    }

    /** Adds the rank to a log line, if waiting requests are ranked, and returns the line. */
    DecisionLog.Line describe(DecisionLog.Line line, boolean promptComputed) {
        if (!active()) {
            return line;
        }
        return line.with("priority", processor.priority()).with("inTime", String.valueOf(isInTime(promptComputed)));
    }

    /** Returns the expected time to the first event, at most the target: an estimate that is far off refuses nobody. */
    private long firstEventMillis(PendingGeneration pending) {
        if (context.pool().prefillTokensPerMilli() <= 0) {
            return USUAL_FIRST_EVENT_MILLIS;
        }
        long prefillMillis = context.pool()
                .memoryRoom()
                .expectedPrefillMillis(processor.service, processor.requiredVersion(), pending.startTokens());
        return Math.min(TRANSFER_MILLIS + prefillMillis, processor.route.targetMillis());
    }

    private boolean isInTime(boolean promptComputed) {
        return WaitRanking.isInTime(request(promptComputed), context.clock().monotonicMillis());
    }

    private void recordWait(boolean promptComputed) {
        if (!waited) {
            waited = true;
            count("started");
            describe(processor.decisionLine("waits for memory"), promptComputed).write();
        }
        if (!late && !processor.isContinuation() && !isInTime(promptComputed)) {
            late = true;
            count("late");
        }
    }

    private void count(String event) {
        int priority = Math.clamp(processor.priority(), 0, MAXIMUM_PRIORITY);
        context.metrics().count("memory_waits_" + event + "_priority_" + priority);
    }

    /** Returns the request as a queue ranks it; empty if waiting requests are not ranked. */
    Optional<WaitRanking.Request> ranked(boolean promptComputed) {
        return active() ? Optional.of(request(promptComputed)) : Optional.empty();
    }
}
