package org.merlinwood.standin.engine.impl;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.engine.ExpectedAnswer;

/** One stream in the batch. Advanced by the batch's thread, read by the thread of its answer. */
public final class DecodeStream {

    private final EngineWork work;
    private final int length;
    private final boolean crashing;
    private final BlockingQueue<StreamEvent> events = new LinkedBlockingQueue<>();
    private volatile int offset;

    /**
     * Creates a stream.
     *
     * @param work holds its memory
     * @param length offset behind the last token
     * @param crashing whether its first step ends the engine
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

    /** Produces one token. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // the batch's thread alone advances a stream
    void advance() {
        if (work.isEnded()) {
            return;
        }
        if (offset < length) {
            events.add(new StreamEvent.Token(
                    offset, ExpectedAnswer.token(work.run().promptDigest(), offset)));
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

    /** Returns the offset behind the last token. */
    public int length() {
        return length;
    }

    /**
     * Waits for the next event.
     *
     * @return a token, or the end
     * @throws InterruptedException if the engine is being closed
     */
    public StreamEvent next() throws InterruptedException {
        return events.take();
    }

    /** What a stream tells the thread of its answer. */
    public sealed interface StreamEvent {
        /**
         * One token.
         *
         * @param offset its offset
         * @param text the token
         */
        record Token(int offset, String text) implements StreamEvent {}

        /**
         * The end.
         *
         * @param whole whether all tokens were produced
         */
        record Ended(boolean whole) implements StreamEvent {}
    }
}
