package org.merlinwood.entry.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.AnswerPart;

/**
 * Puts the parts of one answer together, over all attempts, without a hole and without anything twice.
 *
 * <p>Only parts of the current attempt and of the incarnation that granted it are taken. Lives as long as the request.
 * Thread-safe: parts come on event loops, changes of the attempt on the control thread; the sink is called under the
 * lock, so that nothing follows the terminal event.
 */
final class AnswerAssembly {

    private final RequestSink sink;
    private final int maximumBytes;
    private final List<String> tokens = new ArrayList<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head = AnswerHead.getDefaultInstance();
    private int currentAttempt;
    private long currentIncarnation;
    private boolean ended;

    /** What became of a part. */
    enum Verdict {
        /** Taken, or known already. */
        TAKEN,
        /** Of another attempt, incarnation or request, or after the end. */
        FOREIGN,
        /** Parts before it are missing. */
        GAP,
        /** The whole answer would be over the limit. */
        TOO_LARGE
    }

    AnswerAssembly(RequestSink sink, int maximumBytes) {
        this.sink = sink;
        this.maximumBytes = maximumBytes;
    }

    /** Makes an attempt the only one whose parts are taken. A plain answer begins anew. */
    synchronized void begin(int attempt, long incarnation) {
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

    synchronized Verdict part(AnswerPart part) {
        if (isForeign(part.getRequest().getAttempt(), part.getIncarnation())) {
            return Verdict.FOREIGN;
        }
        return part.getTokensCount() > 0 ? tokenPart(part) : bodyPart(part);
    }

    /** Tells whether the current attempt has delivered everything up to a length. */
    synchronized boolean isWhole(int attempt, long incarnation, long length) {
        return !isForeign(attempt, incarnation) && Math.max(tokens.size(), body.size()) == length;
    }

    synchronized List<String> tokensSoFar() {
        return List.copyOf(tokens);
    }

    /** Runs the terminal event; parts that come later are foreign. */
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

    private Verdict tokenPart(AnswerPart part) {
        if (part.getOffset() > tokens.size()) {
            return Verdict.GAP;
        }
        int known = (int) (tokens.size() - part.getOffset());
        if (known < part.getTokensCount()) {
            List<String> fresh = List.copyOf(part.getTokensList().subList(known, part.getTokensCount()));
            tokens.addAll(fresh);
            sink.tokens(fresh);
        }
        return Verdict.TAKEN;
    }

    private Verdict bodyPart(AnswerPart part) {
        if (part.getOffset() > body.size()) {
            return Verdict.GAP;
        }
        int known = (int) (body.size() - part.getOffset());
        int fresh = part.getBody().size() - known;
        if (fresh <= 0) {
            return Verdict.TAKEN;
        }
        if (body.size() + fresh > maximumBytes) {
            return Verdict.TOO_LARGE;
        }
        body.writeBytes(part.getBody().substring(known).toByteArray());
        return Verdict.TAKEN;
    }
}
