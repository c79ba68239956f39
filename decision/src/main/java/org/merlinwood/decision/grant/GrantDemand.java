package org.merlinwood.decision.grant;

import java.util.Objects;

/**
 * The request of an entry for a grant. Immutable.
 *
 * @param session the connection that requested the grant
 * @param attempt the attempt
 * @param units required units of capacity: a prompt of a prefill engine, pieces of a decode engine's memory, or a slot
 *     of a plain service; 0 for an attempt that needs no capacity, such as replaying a stored response
 * @param tokens number of prompt tokens to prefill, 0 if there are none
 * @param priority 0 is served first
 * @param waitMillis maximum time to wait for the grant, in milliseconds
 * @param onTrial true if the request may have crashed an engine, so that no other such request may run at the same time
 */
public record GrantDemand(
        SessionNumber session,
        AttemptIdentity attempt,
        int units,
        long tokens,
        int priority,
        long waitMillis,
        boolean onTrial) {

    /** Number of tokens that fit into one piece of engine memory. */
    public static final int TOKENS_PER_PIECE = 2_000;

    /** Validates the components. */
    public GrantDemand {
        Objects.requireNonNull(session, "session");
        Objects.requireNonNull(attempt, "attempt");
        if (units < 0 || tokens < 0 || waitMillis < 0) {
            throw new IllegalArgumentException("units, tokens and waitMillis must not be negative");
        }
    }

    /**
     * Returns a copy without units and tokens, for an attempt whose units are released and whose tokens are prefilled.
     *
     * @return a copy
     */
    public GrantDemand withoutUnits() {
        return new GrantDemand(session, attempt, 0, 0, priority, waitMillis, onTrial);
    }

    /**
     * Creates a demand for a request that is not on trial.
     *
     * @param session the connection that requested the grant
     * @param attempt the attempt
     * @param units required units of capacity
     * @param tokens number of prompt tokens to prefill
     * @param priority 0 is served first
     * @param waitMillis maximum time to wait for the grant, in milliseconds
     */
    public GrantDemand(
            SessionNumber session, AttemptIdentity attempt, int units, long tokens, int priority, long waitMillis) {
        this(session, attempt, units, tokens, priority, waitMillis, false);
    }

    /**
     * Returns a copy for a request that may have crashed an engine and therefore runs on trial.
     *
     * @return a copy
     */
    public GrantDemand asTrial() {
        return new GrantDemand(session, attempt, units, tokens, priority, waitMillis, true);
    }

    /**
     * Computes how many pieces of engine memory a number of tokens needs.
     *
     * @param tokens tokens of prompt and response together
     * @return at least one piece
     */
    public static int piecesOf(long tokens) {
        long pieces = (Math.max(1, tokens) + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
        return (int) Math.min(Integer.MAX_VALUE, pieces);
    }
}
