package org.merlinwood.replay.policy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.codec.digest.MurmurHash3;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.replay.fake.DecodeStream;
import org.merlinwood.replay.fake.VirtualTime;
import org.merlinwood.replay.trace.TraceEvent.ModelRequest;

/** One send of a model request, from the caller's view. Not thread-safe. */
public final class ModelRun implements DecodeStream {

    private static final int TOKENS_PER_PIECE = 2_000;
    private static final double ALLOWED_LATE_GAP_SHARE = 0.05;
    private static final long NOT_YET = -1;

    private final ModelRequest request;
    private final CallerClass callerClass;
    private final PrefixBlocks blocks;
    private final RunListener listener;
    private final Histogram gapMillis;
    private final long sentMicros;
    private final List<PrefillUse> prefills = new ArrayList<>();
    private long firstTokenMicros = NOT_YET;
    private long lastTokenMicros = NOT_YET;
    private int tokens;
    private int lateGaps;
    private boolean ended;
    private Runnable whenEnded = () -> {};
    private Runnable whenCacheMissing = () -> {};
    private Runnable whenLost = () -> {};

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a send at this moment.
     *
     * @param time virtual time
     * @param request the request
     * @param callerClass class of the caller
     * @param gapMillis is given the times between tokens
     * @param listener is told how it ended
     */
    public ModelRun(
            VirtualTime time,
            ModelRequest request,
            CallerClass callerClass,
            Histogram gapMillis,
            RunListener listener) {
        this.request = request;
        this.callerClass = callerClass;
        this.blocks = blocksOf(request);
        this.gapMillis = gapMillis;
        this.listener = listener;
        this.sentMicros = time.nowMicros();
    }

    // ------------------------------------------------------------------ public API: caller

    /** The caller leaves unless the first token was there. */
    public void losePatience() {
        if (firstTokenMicros == NOT_YET) {
            end(RunOutcome.LEFT, RunListener.NO_TIME);
        }
    }

    /**
     * Tells whether both targets of the class were met.
     *
     * @return true if the first token and 95 of 100 gaps were in time
     */
    public boolean isWithinTargets() {
        long targetMicros = TimeUnit.MILLISECONDS.toMicros(callerClass.firstTokenTargetMillis());
        boolean firstInTime = firstTokenMicros != NOT_YET && firstTokenMicros - sentMicros <= targetMicros;
        return firstInTime && lateGaps <= ALLOWED_LATE_GAP_SHARE * tokens;
    }

    /**
     * Returns the time to the first token.
     *
     * @return milliseconds
     */
    public long firstTokenMillis() {
        return TimeUnit.MICROSECONDS.toMillis(firstTokenMicros - sentMicros);
    }

    /**
     * Returns the prefills that were computed for this send.
     *
     * @return the prefills
     */
    public List<PrefillUse> prefills() {
        return prefills;
    }

    // ------------------------------------------------------------------ public API: router

    void whenEnded(Runnable action) {
        whenEnded = action;
    }

    void whenCacheMissing(Runnable action) {
        whenCacheMissing = action;
    }

    void whenLost(Runnable action) {
        whenLost = action;
    }

    void refuse(long comeBackMillis) {
        end(RunOutcome.REFUSED, comeBackMillis);
    }

    void fail() {
        end(RunOutcome.FAILED, RunListener.NO_TIME);
    }

    PrefillUse prefillBegins(long computedTokens) {
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
        return pieces(request.promptTokens() + request.maximumTokens());
    }

    int prefillPieces() {
        return pieces(request.promptTokens());
    }

    long promptTokens() {
        return (long) request.promptTokens() + tokens;
    }

    // ------------------------------------------------------------------ public API: engine

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
            prefills.get(prefills.size() - 1).markGeneratedFrom();
        }
        if (tokens >= request.outputTokens()) {
            end(RunOutcome.WHOLE, RunListener.NO_TIME);
        }
        return !ended;
    }

    @Override
    public void cacheMissing() {
        whenCacheMissing.run();
    }

    @Override
    public void lost() {
        whenLost.run();
    }

    // ------------------------------------------------------------------ internals

    private void countGap(long millis) {
        gapMillis.recordValue(millis);
        if (millis > callerClass.betweenTokensTargetMillis()) {
            lateGaps++;
        }
    }

    private void end(RunOutcome outcome, long comeBackMillis) {
        if (!ended) {
            ended = true;
            whenEnded.run();
            listener.ended(outcome, comeBackMillis);
        }
    }

    private static int pieces(int tokens) {
        return Math.ceilDiv(tokens, TOKENS_PER_PIECE);
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
