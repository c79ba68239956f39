package org.merlinwood.standin.engine.impl;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedResponse;

/** One stream in the batch. Advanced by the thread of the batch, read by the thread that writes the response. */
public final class DecodeStream {

    private final EngineWork work;
    private final int length;
    private final boolean crashing;
    private final BlockingQueue<StreamEvent> events = new LinkedBlockingQueue<>();
    private volatile int offset;

    /**
     * Creates a stream.
     *
     * @param work the work whose memory the stream uses
     * @param length length of the complete response, in tokens
     * @param crashing whether the first step of the stream crashes the engine
     */
    public DecodeStream(EngineWork work, int length, boolean crashing) {
        this.work = work;
        this.length = length;
        this.crashing = crashing;
        this.offset = work.run().firstOffset();
        work.onEnd(() -> events.add(new StreamEvent.Ended(offset >= length)));
    }

    EngineWork work() {
        return work;
    }

    boolean isCrashing() {
        return crashing;
    }

    /** Produces one token, and ends the work after the last one. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread of the batch writes the offset
    void advance() {
        if (work.isEnded()) {
            return;
        }
        if (offset < length) {
            events.add(new StreamEvent.Token(
                    offset, ExpectedResponse.token(work.run().promptDigest(), offset)));
            work.addTokens(1);
            offset++;
        }
        if (offset >= length) {
            work.end(EngineRun.Outcome.FINISHED);
        }
    }

    /** Returns the offset of the next token. */
    public int offset() {
        return offset;
    }

    /** Returns the length of the complete response, in tokens. */
    public int length() {
        return length;
    }

    /**
     * Waits for the next event.
     *
     * @return a token or the end of the stream
     * @throws InterruptedException if the engine is being closed
     */
    public StreamEvent next() throws InterruptedException {
        return events.take();
    }

    /** Event that a stream passes to the thread that writes its response. */
    public sealed interface StreamEvent {
        /**
         * A token was produced.
         *
         * @param offset offset of the token in the complete response
         * @param text the token
         */
        record Token(int offset, String text) implements StreamEvent {}

        /**
         * The stream has ended.
         *
         * @param complete whether all tokens were produced
         */
        record Ended(boolean complete) implements StreamEvent {}
    }
}
