package org.merlinwood.entry.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;

/**
 * Assembles the parts of one response across all attempts, without gaps or duplicates.
 *
 * <p>Accepts only parts of the current attempt, from the incarnation that granted it. Exists as long as the request.
 * Thread-safe: parts arrive on event loops, while the control thread changes the current attempt. The sink is called
 * with the lock held, so that nothing follows the terminal event.
 */
final class ResponseAssembly {

    private final RequestSink sink;
    private final int maximumBytes;
    private final List<String> tokens = new ArrayList<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head = AnswerHead.getDefaultInstance();
    private int currentAttempt;
    private long currentIncarnation;
    private boolean ended;

    /** Result of adding a part. */
    enum Verdict {
        /** Added, or a duplicate. */
        TAKEN,
        /** Belongs to another attempt, incarnation or request, or arrived after the end. */
        FOREIGN,
        /** Earlier parts are missing. */
        GAP,
        /** The response would exceed the size limit. */
        TOO_LARGE
    }

    ResponseAssembly(RequestSink sink, int maximumBytes) {
        this.sink = sink;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Makes an attempt the only one whose parts are accepted. The body of a plain response is reset; tokens are kept.
     */
    synchronized void startAttempt(int attempt, long incarnation) {
        currentAttempt = attempt;
        currentIncarnation = incarnation;
        head = AnswerHead.getDefaultInstance();
        body.reset();
    }

    synchronized Verdict head(AnswerHead received) {
        if (isForeign(received.getRequest().getAttempt(), received.getIncarnation())) {
            return Verdict.FOREIGN;
        }
        head = received;
        return Verdict.TAKEN;
    }

    synchronized Verdict addPart(AnswerPart part) {
        if (isForeign(part.getRequest().getAttempt(), part.getIncarnation())) {
            return Verdict.FOREIGN;
        }
        return part.getTokensCount() > 0 ? addTokens(part) : addBody(part);
    }

    /** Returns whether the current attempt has delivered the response up to the given length. */
    synchronized boolean isComplete(int attempt, long incarnation, long length) {
        return !isForeign(attempt, incarnation) && Math.max(tokens.size(), body.size()) == length;
    }

    synchronized List<String> tokensSoFar() {
        return List.copyOf(tokens);
    }

    /** Runs the terminal event. Parts that arrive later are rejected as {@link Verdict#FOREIGN}. */
    synchronized void end(Runnable terminal) {
        ended = true;
        terminal.run();
    }

    synchronized AnswerHead head() {
        return head;
    }

    synchronized byte[] body() {
        return body.toByteArray();
    }

    // ------------------------------------------------------------------ internals

    private boolean isForeign(int attempt, long incarnation) {
        return ended || attempt != currentAttempt || incarnation != currentIncarnation;
    }

    private Verdict addTokens(AnswerPart part) {
        if (part.getOffset() > tokens.size()) {
            return Verdict.GAP;
        }
        int knownCount = (int) (tokens.size() - part.getOffset());
        if (knownCount < part.getTokensCount()) {
            List<String> newTokens = List.copyOf(part.getTokensList().subList(knownCount, part.getTokensCount()));
            tokens.addAll(newTokens);
            sink.tokens(newTokens);
        }
        return Verdict.TAKEN;
    }

    private Verdict addBody(AnswerPart part) {
        if (part.getOffset() > body.size()) {
            return Verdict.GAP;
        }
        int knownCount = (int) (body.size() - part.getOffset());
        int newTokens = part.getBody().size() - knownCount;
        if (newTokens <= 0) {
            return Verdict.TAKEN;
        }
        if (body.size() + newTokens > maximumBytes) {
            return Verdict.TOO_LARGE;
        }
        body.writeBytes(part.getBody().substring(knownCount).toByteArray());
        return Verdict.TAKEN;
    }
}
