package org.merlinwood.replay.policy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.decision.grant.GrantDemand;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.replay.fake.DecodeStream;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.TraceEvent.ModelRequest;

/** One attempt of a model request as the caller sees it. Not thread-safe. */
public final class ModelAttempt implements DecodeStream {

    private static final double ALLOWED_LATE_GAP_SHARE = 0.05;
    private static final long NOT_YET = -1;

    private final ModelRequest request;
    private final CallerClass callerClass;
    private final PrefixBlocks blocks;
    private final AttemptResultListener listener;
    private final Histogram gapMillis;
    private final long sentMicros;
    private final List<PrefillUse> prefills = new ArrayList<>();
    private long firstTokenMicros = NOT_YET;
    private long lastTokenMicros = NOT_YET;
    private int tokens;
    private int lateGaps;
    private boolean ended;
    private Runnable onEnded = () -> {};
    private Runnable onCacheMissing = () -> {};
    private Runnable onLost = () -> {};

    /**
     * Creates an attempt that is sent at the current virtual time.
     *
     * @param time virtual time
     * @param request the request
     * @param callerClass class of the caller
     * @param gapMillis histogram to which the times between tokens are added, in milliseconds
     * @param listener receives the outcome
     */
    public ModelAttempt(
            VirtualTime time,
            ModelRequest request,
            CallerClass callerClass,
            Histogram gapMillis,
            AttemptResultListener listener) {
        this.request = request;
        this.callerClass = callerClass;
        this.blocks = blocksOf(request);
        this.gapMillis = gapMillis;
        this.listener = listener;
        this.sentMicros = time.nowMicros();
    }

    /** Ends the attempt because the caller disconnects, unless the first token has arrived. */
    public void onCallerTimeout() {
        if (firstTokenMicros == NOT_YET) {
            end(RunOutcome.LEFT, AttemptResultListener.NO_RETRY_AFTER);
        }
    }

    /**
     * Returns whether both latency targets of the caller's class were met.
     *
     * @return true if the first token was in time and at most 5 in 100 tokens came after a late gap
     */
    public boolean isWithinTargets() {
        long targetMicros = TimeUnit.MILLISECONDS.toMicros(callerClass.firstTokenTargetMillis());
        boolean firstInTime = firstTokenMicros != NOT_YET && firstTokenMicros - sentMicros <= targetMicros;
        return firstInTime && lateGaps <= ALLOWED_LATE_GAP_SHARE * tokens;
    }

    /**
     * Returns the time to the first token. Valid only if a token was generated.
     *
     * @return the time in milliseconds
     */
    public long firstTokenMillis() {
        return TimeUnit.MICROSECONDS.toMillis(firstTokenMicros - sentMicros);
    }

    /**
     * Returns the prefills that were computed for this attempt.
     *
     * @return the prefills in order of their start
     */
    public List<PrefillUse> prefills() {
        return prefills;
    }

    void onEnded(Runnable action) {
        onEnded = action;
    }

    void onCacheMissing(Runnable action) {
        onCacheMissing = action;
    }

    void onLost(Runnable action) {
        onLost = action;
    }

    void refuse(long retryAfterMillis) {
        end(RunOutcome.REFUSED, retryAfterMillis);
    }

    void fail() {
        end(RunOutcome.FAILED, AttemptResultListener.NO_RETRY_AFTER);
    }

    PrefillUse recordPrefill(long computedTokens) {
        PrefillUse use = new PrefillUse(computedTokens);
        prefills.add(use);
        return use;
    }

    boolean isEnded() {
        return ended;
    }

    boolean hasTokens() {
        return tokens > 0;
    }

    int tokens() {
        return tokens;
    }

    long sentMicros() {
        return sentMicros;
    }

    ModelRequest request() {
        return request;
    }

    CallerClass callerClass() {
        return callerClass;
    }

    PrefixBlocks blocks() {
        return blocks;
    }

    int decodePieces() {
        return GrantDemand.piecesOf((long) request.promptTokens() + request.maximumTokens());
    }

    int prefillPieces() {
        return GrantDemand.piecesOf(request.promptTokens());
    }

    long promptTokens() {
        return (long) request.promptTokens() + tokens;
    }

    @Override
    public boolean token(long nowMicros) {
        if (ended) {
            return false;
        }
        if (firstTokenMicros == NOT_YET) {
            firstTokenMicros = nowMicros;
        } else {
            countGap(TimeUnit.MICROSECONDS.toMillis(nowMicros - lastTokenMicros));
        }
        lastTokenMicros = nowMicros;
        tokens++;
        if (!prefills.isEmpty()) {
            prefills.get(prefills.size() - 1).markProducedToken();
        }
        if (tokens >= request.outputTokens()) {
            end(RunOutcome.WHOLE, AttemptResultListener.NO_RETRY_AFTER);
        }
        return !ended;
    }

    @Override
    public void cacheMissing() {
        onCacheMissing.run();
    }

    @Override
    public void lost() {
        onLost.run();
    }

    private void countGap(long millis) {
        gapMillis.recordValue(millis);
        if (millis > callerClass.betweenTokensTargetMillis()) {
            lateGaps++;
        }
    }

    private void end(RunOutcome outcome, long retryAfterMillis) {
        if (!ended) {
            ended = true;
            onEnded.run();
            listener.onEnded(outcome, retryAfterMillis);
        }
    }

    private static PrefixBlocks blocksOf(ModelRequest request) {
        int whole = request.promptTokens() / PrefixBlocks.BLOCK_TOKENS;
        int shared = Math.min(whole, request.sharedTokens() / PrefixBlocks.BLOCK_TOKENS);
        List<Long> hashes = new ArrayList<>(whole);
        for (int block = 0; block < whole; block++) {
            String text = block < shared ? request.sharedPrefix() : request.sharedPrefix() + "/" + request.thread();
            byte[] bytes = (text + "#" + block).getBytes(StandardCharsets.UTF_8);
            hashes.add(MurmurHash3.hash128x64(bytes)[0]);
        }
        return PrefixBlocks.ofHashes(hashes);
    }
}
