package org.merlinwood.benchmarks;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.ExecutePrefill;
import org.merlinwood.wire.Execution;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantRequest;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Heartbeat;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;
import org.merlinwood.wire.Queued;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.Release;
import org.merlinwood.wire.RequestIdentity;
import org.merlinwood.wire.RevisionPair;
import org.merlinwood.wire.Sampling;
import org.merlinwood.wire.WorkKind;

/** Creates frames as processes send them at the planned fleet size. Stateless and thread-safe. */
final class SampleFrames {

    private static final int DIGEST_BYTES = 32;
    private static final int PROMPT_TOKENS = 5_632;
    private static final int PROMPT_BLOCKS = 22;
    private static final RequestIdentity REQUEST = RequestIdentity.newBuilder()
            .setRequestHigh(0x123456789abcdefL)
            .setRequestLow(-2)
            .setAttempt(1)
            .build();
    private static final RevisionPair REVISIONS =
            RevisionPair.newBuilder().setInventory(1_900_000).setRules(40_000).build();
    private static final Load LOAD = Load.newBuilder()
            .setFreePieces(12)
            .setTotalPieces(64)
            .setRunning(18)
            .setQueued(3)
            .setExpectedWaitMillis(140)
            .setQueuedTokens(14_000)
            .build();
    private static final GrantUse USE = GrantUse.newBuilder()
            .setGrant(77)
            .setIncarnation(-3)
            .setRequest(REQUEST)
            .build();
    private static final String PROMPT = Prompts.text(1, PROMPT_BLOCKS);

    private SampleFrames() {}

    /** Returns the frames by name, in the order in which a request uses them. */
    static Map<String, Frame> all() {
        Map<String, Frame> frames = new LinkedHashMap<>();
        frames.put("GrantRequest (decode)", grantRequest(WorkKind.DECODE, 0));
        frames.put("GrantRequest (prefill, 22 blocks)", grantRequest(WorkKind.PREFILL, PROMPT_BLOCKS));
        frames.put(
                "Queued",
                frame().setQueued(Queued.newBuilder().setExpectedWaitMillis(140).setLoad(LOAD))
                        .build());
        frames.put("Granted", granted());
        frames.put("Refused", refused());
        frames.put(
                "Release", frame().setRelease(Release.newBuilder().setGrant(77)).build());
        frames.put("ExecutePrefill (prompt of 22 KiB)", executePrefill());
        frames.put("PrefillDone", prefillDone());
        frames.put("ExecuteDecode (prompt of 22 KiB)", executeDecode());
        frames.put(
                "AnswerHead",
                frame().setAnswerHead(AnswerHead.newBuilder()
                                .setRequest(REQUEST)
                                .setIncarnation(-3)
                                .setStatus(200))
                        .build());
        frames.put("AnswerPart (1 token)", answerPart(1));
        frames.put("AnswerPart (8 tokens)", answerPart(8));
        frames.put("AnswerEnd", answerEnd());
        frames.put("Heartbeat", heartbeat());
        return frames;
    }

    static Frame grantRequest(WorkKind kind, int blocks) {
        GrantRequest.Builder request = GrantRequest.newBuilder()
                .setRequest(REQUEST)
                .setKind(kind)
                .setRevisions(REVISIONS)
                .setCaller("workspace-01234")
                .setCallerClass("standard")
                .setPriority(1)
                .setModel("model-3")
                .setPromptTokens(PROMPT_TOKENS)
                .setMaximumTokens(400)
                .setWaitMillis(900)
                .setFingerprint(ByteString.copyFrom(new byte[DIGEST_BYTES]));
        for (int block = 0; block < blocks; block++) {
            request.addPrefixBlocks(block + 1L);
        }
        return frame().setGrantRequest(request).build();
    }

    static Frame granted() {
        Granted.Builder granted = Granted.newBuilder()
                .setGrant(77)
                .setIncarnation(-3)
                .setExpiresInMillis(3_000)
                .setLoad(LOAD)
                .setRevisions(REVISIONS);
        return frame().setGranted(granted).build();
    }

    static Frame answerPart(int tokens) {
        AnswerPart.Builder part = AnswerPart.newBuilder()
                .setRequest(REQUEST)
                .setIncarnation(-3)
                .setOffset(120)
                .addAllTokens(Collections.nCopies(tokens, " hydrant"));
        return frame().setAnswerPart(part).build();
    }

    static Frame heartbeat() {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setRevisions(REVISIONS))
                .build();
    }

    private static Frame refused() {
        Refused.Builder refused = Refused.newBuilder()
                .setCode(2001)
                .setDetail("Every candidate is full.")
                .setExecution(Execution.NOT_RUN)
                .setRetryAfterMillis(250)
                .setLoad(LOAD)
                .setRevisions(REVISIONS);
        return frame().setRefused(refused).build();
    }

    private static Frame executePrefill() {
        return frame().setExecutePrefill(ExecutePrefill.newBuilder()
                        .setUse(USE)
                        .setModel("model-3")
                        .setPrompt(PROMPT)
                        .setPriority(1))
                .build();
    }

    private static Frame prefillDone() {
        return frame().setPrefillDone(PrefillDone.newBuilder()
                        .setRequest(REQUEST)
                        .setCache(cache())
                        .setComputedTokens(PROMPT_TOKENS)
                        .setLoad(LOAD))
                .build();
    }

    private static Frame executeDecode() {
        return frame().setExecuteDecode(ExecuteDecode.newBuilder()
                        .setUse(USE)
                        .setModel("model-3")
                        .setPrompt(PROMPT)
                        .setSampling(Sampling.newBuilder()
                                .setMaximumTokens(400)
                                .setTemperature(0.7)
                                .setSeed(7))
                        .setCache(cache())
                        .setPriority(1))
                .build();
    }

    private static CacheHandle cache() {
        char[] handle = new char[DIGEST_BYTES];
        Arrays.fill(handle, 'a');
        return CacheHandle.newBuilder()
                .setEngineAddress("10.12.34.56:8000")
                .setHandle(new String(handle))
                .setTokens(PROMPT_TOKENS)
                .setBytes(563_200_000L)
                .build();
    }

    private static Frame answerEnd() {
        return frame().setAnswerEnd(AnswerEnd.newBuilder()
                        .setRequest(REQUEST)
                        .setIncarnation(-3)
                        .setLength(220)
                        .setExecution(Execution.RAN)
                        .setFinishReason("stop")
                        .setLoad(LOAD))
                .build();
    }

    private static Frame.Builder frame() {
        return Frame.newBuilder().setExchange(123_457);
    }
}
