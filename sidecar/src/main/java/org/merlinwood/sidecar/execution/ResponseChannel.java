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

/** Sends the response on one exchange and ends it exactly once. Frames after the end are dropped. Thread-safe. */
public final class ResponseChannel {

    private final Exchange exchange;
    private final RequestIdentity identity;
    private final Incarnation incarnation;
    private final Supplier<Load> load;
    private final Supplier<Revisions> revisions;
    private boolean ended;

    /**
     * Creates a channel for one exchange.
     *
     * @param exchange the exchange that carries the response
     * @param identity request and attempt, sent in every frame of the response
     * @param incarnation incarnation of this process, sent in every frame of the response
     * @param load current load, sent with the last frame
     * @param revisions active revisions, sent with refusals
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

    /**
     * Sends a frame that does not end the exchange.
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
     * @param replayed whether it is a stored response that is replayed
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
     * @param offset offset of the first token in the complete response
     * @param tokens the tokens
     */
    public void tokens(long offset, List<String> tokens) {
        send(Frame.newBuilder().setAnswerPart(part(offset).addAllTokens(tokens)));
    }

    /**
     * Sends a part of the body.
     *
     * @param offset offset of the first byte in the complete body
     * @param bytes the bytes
     */
    public void body(long offset, ByteString bytes) {
        send(Frame.newBuilder().setAnswerPart(part(offset).setBody(bytes)));
    }

    /**
     * Ends the exchange with the result of a prefill.
     *
     * @param cache location of the KV cache
     * @param computedTokens number of tokens that were not in the prefix cache
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
     * Ends the exchange after a complete response.
     *
     * @param length length of the complete response, in tokens or bytes
     * @param finishReason reason why the generation ended; empty for a plain response
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
     * Ends the exchange with a failure: with a refusal if nothing ran, else with a failed end of the response.
     *
     * @param failure the failure
     */
    public void fail(Failure failure) {
        end(failure.executionState() == ExecutionState.NOT_RUN ? refusal(failure) : failureEnd(failure));
    }

    /**
     * Ends the exchange with a refusal, before anything was executed on it. The execution state of the failure may
     * refer to earlier requests with the same idempotency key.
     *
     * @param failure the failure
     */
    public void refuse(Failure failure) {
        end(refusal(failure));
    }

    /** Ends the exchange without sending a frame, because the entry has ended it. */
    public synchronized void drop() {
        if (!ended) {
            ended = true;
            exchange.finish();
        }
    }

    private synchronized void end(Frame.Builder last) {
        if (ended) {
            return;
        }
        ended = true;
        // Finish first: a frame that the peer sends after the last frame then opens a new exchange and is answered
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

    private Frame.Builder failureEnd(Failure failure) {
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
