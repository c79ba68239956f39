package org.merlinwood.decision.grant;

import java.util.Objects;

/**
 * What an entry asks for. Immutable.
 *
 * @param session the connection that asked
 * @param attempt the attempt
 * @param units units of capacity that the work takes: a prompt of a prefill engine, pieces of a decode engine's memory,
 *     or a slot of a plain service; 0 for work that needs no capacity, such as giving a stored answer again
 * @param tokens prompt tokens that would be prefilled, 0 for other work
 * @param priority 0 is served first
 * @param waitMillis how long the demand may wait for its grant, in milliseconds
 * @param onTrial true if the work may have ended an engine, so that no other such work may run beside it
 */
public record GrantDemand(
        SessionNumber session,
        AttemptIdentity attempt,
        int units,
        long tokens,
        int priority,
        long waitMillis,
        boolean onTrial) {

    /** Tokens that one piece of engine memory holds. */
    public static final int TOKENS_PER_PIECE = 2_000;

    /** Checks the parts. */
    public GrantDemand {
        Objects.requireNonNull(session, "session");
        Objects.requireNonNull(attempt, "attempt");
        if (units < 0 || tokens < 0 || waitMillis < 0) {
            throw new IllegalArgumentException("units, tokens and wait are not negative");
        }
    }

    /**
     * Returns this demand for work whose units are free again and whose tokens are prefilled.
     *
     * @return a copy
     */
    public GrantDemand withoutUnits() {
        return new GrantDemand(session, attempt, 0, 0, priority, waitMillis, onTrial);
    }

    /**
     * Creates a demand for work that nothing is known against.
     *
     * @param session the connection that asked
     * @param attempt the attempt
     * @param units units of capacity
     * @param tokens prompt tokens
     * @param priority 0 is served first
     * @param waitMillis how long the demand may wait, in milliseconds
     */
    public GrantDemand(
            SessionNumber session, AttemptIdentity attempt, int units, long tokens, int priority, long waitMillis) {
        this(session, attempt, units, tokens, priority, waitMillis, false);
    }

    /**
     * Returns this demand for work that may have ended an engine.
     *
     * @return a copy
     */
    public GrantDemand asTrial() {
        return new GrantDemand(session, attempt, units, tokens, priority, waitMillis, true);
    }

    /**
     * Computes the pieces of engine memory that a number of tokens takes.
     *
     * @param tokens prompt and answer, in tokens
     * @return at least one piece
     */
    public static int piecesOf(long tokens) {
        long pieces = (Math.max(1, tokens) + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
        return (int) Math.min(Integer.MAX_VALUE, pieces);
    }
}
