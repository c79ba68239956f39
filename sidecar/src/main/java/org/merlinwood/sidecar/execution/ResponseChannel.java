package org.merlinwood.sidecar.execution;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.AnswerEnd;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Header;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;
import org.merlinwood.wire.Refused;
import org.merlinwood.wire.RequestIdentity;

/** Writes the answer of one exchange and ends it exactly once: what comes after the end is dropped. Thread-safe. */
public final class ResponseChannel {

    private final Exchange exchange;
    private final RequestIdentity identity;
    private final Incarnation incarnation;
    private final Supplier<Load> load;
    private final Supplier<Revisions> revisions;
    private boolean ended;

    // ------------------------------------------------------------------ configuration

    /**
     * Creates a channel for one exchange.
     *
     * @param exchange carries the answer
     * @param identity request and attempt, in every frame of the answer
     * @param incarnation of this process, in every frame of the answer
     * @param load rides on the last frame
     * @param revisions ride on refusals
     */
    public ResponseChannel(
            Exchange exchange,
            RequestIdentity identity,
            Incarnation incarnation,
            Supplier<Load> load,
            Supplier<Revisions> revisions) {
        this.exchange = exchange;
        this.identity = identity;
        this.incarnation = incarnation;
        this.load = load;
        this.revisions = revisions;
    }

    // ------------------------------------------------------------------ public API: before the end

    /**
     * Sends a frame that is neither a part of the answer nor its end.
     *
     * @param frame the frame
     */
    public synchronized void send(Frame.Builder frame) {
        if (!ended) {
            exchange.send(frame);
        }
    }

    /**
     * Sends status and headers.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param replayed true where a stored answer is given again
     */
    public void head(int status, List<HttpHeader> headers, boolean replayed) {
        AnswerHead.Builder head = AnswerHead.newBuilder()
                .setRequest(identity)
                .setIncarnation(incarnation.value())
                .setStatus(status)
                .setReplayed(replayed);
        headers.forEach(header ->
                head.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value())));
        send(Frame.newBuilder().setAnswerHead(head));
    }

    /**
     * Sends tokens.
     *
     * @param offset offset of the first, counted from the start of the whole answer
     * @param tokens the tokens
     */
    public void tokens(long offset, List<String> tokens) {
        send(Frame.newBuilder().setAnswerPart(part(offset).addAllTokens(tokens)));
    }

    /**
     * Sends bytes of a body.
     *
     * @param offset offset of the first byte
     * @param bytes the bytes
     */
    public void body(long offset, ByteString bytes) {
        send(Frame.newBuilder().setAnswerPart(part(offset).setBody(bytes)));
    }

    // ------------------------------------------------------------------ public API: the end

    /**
     * Ends the exchange with a finished prefill.
     *
     * @param cache where the KV cache is held
     * @param computedTokens tokens that were computed
     */
    public void prefillDone(CacheHandle cache, int computedTokens) {
        end(Frame.newBuilder()
                .setPrefillDone(PrefillDone.newBuilder()
                        .setRequest(identity)
                        .setCache(cache)
                        .setComputedTokens(computedTokens)
                        .setLoad(load.get())));
    }

    /**
     * Ends the exchange with a whole answer.
     *
     * @param length offset behind the last part
     * @param finishReason why the answer ended; empty for a plain answer
     */
    public void complete(long length, String finishReason) {
        end(Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder()
                        .setRequest(identity)
                        .setIncarnation(incarnation.value())
                        .setLength(length)
                        .setCode(ResultCode.OK.number())
                        .setExecution(WireValues.toWire(ExecutionState.RAN))
                        .setFinishReason(finishReason)
                        .setLoad(load.get())));
    }

    /**
     * Ends the exchange with a failure: a refusal where nothing was run, else the failed end of an answer.
     *
     * @param failure the failure
     */
    public void fail(Failure failure) {
        end(failure.executionState() == ExecutionState.NOT_RUN ? refusal(failure) : failedEnd(failure));
    }

    /**
     * Ends the exchange before anything was executed on it. What the failure says of execution may speak of earlier
     * calls with the same key.
     *
     * @param failure the failure
     */
    public void refuse(Failure failure) {
        end(refusal(failure));
    }

    /** Ends the exchange without a word, where the entry itself has ended it. */
    public synchronized void drop() {
        if (!ended) {
            ended = true;
            exchange.finish();
        }
    }

    // ------------------------------------------------------------------ internals

    private synchronized void end(Frame.Builder last) {
        if (ended) {
            return;
        }
        ended = true;
        // Forgotten first: what the peer sends behind the last frame opens an exchange of its own and is answered
        // there.
        exchange.finish();
        exchange.send(last);
    }

    private AnswerPart.Builder part(long offset) {
        return AnswerPart.newBuilder()
                .setRequest(identity)
                .setIncarnation(incarnation.value())
                .setOffset(offset);
    }

    private Frame.Builder refusal(Failure failure) {
        Refused.Builder refused =
                WireValues.toRefused(failure).setLoad(load.get()).setRevisions(WireValues.toWire(revisions.get()));
        return Frame.newBuilder().setRefused(refused);
    }

    private Frame.Builder failedEnd(Failure failure) {
        return Frame.newBuilder()
                .setAnswerEnd(AnswerEnd.newBuilder()
                        .setRequest(identity)
                        .setIncarnation(incarnation.value())
                        .setCode(failure.code().number())
                        .setDetail(failure.detail())
                        .setExecution(WireValues.toWire(failure.executionState()))
                        .setRetryAfterMillis(failure.retryAfterMillis())
                        .setLoad(load.get()));
    }
}
