package org.merlinwood.decision.fairness;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import org.merlinwood.configuration.rules.CallerClass;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.retry.RetryDelay;

/**
 * Shares one entry between its callers: a fixed bound on open requests for each, and while capacity is short a share in
 * proportion to the weights of the classes.
 *
 * <p>State follows the callers that have open requests, not all callers of the rules. Not thread-safe: used by the
 * entry's control thread only.
 */
public final class CallerShares {

    private static final long COME_BACK_MILLIS = 500;
    private static final double SHARE_HEADROOM = 1.25;
    private static final int ALWAYS_ALLOWED = 2;

    private final RetryDelay retryDelay;
    private final Map<CallerName, OpenRequests> open = new HashMap<>();
    private double openWeight;
    private int openTotal;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates shares without any open request.
     *
     * @param retryDelay spreads the times to come back
     */
    public CallerShares(RetryDelay retryDelay) {
        this.retryDelay = retryDelay;
    }

    // ------------------------------------------------------------------ public API

    /**
     * Opens a request of a caller. Each success must be followed by one {@link #release}.
     *
     * @param caller the caller
     * @param callerClass its class
     * @param contended true while requests wait or are refused for lack of capacity
     * @return the caller's open requests with this one, or the final answer
     */
    public Either<Failure, Integer> tryAcquire(CallerName caller, CallerClass callerClass, boolean contended) {
        OpenRequests requests = open.get(caller);
        int already = requests == null ? 0 : requests.count;
        if (already >= callerClass.concurrentRequests()) {
            return Either.left(refusal(callerClass, "The caller has " + already + " requests open at this entry."));
        }
        if (contended && isOverShare(already, callerClass.share(), requests == null)) {
            return Either.left(refusal(callerClass, "The caller is over its share while capacity is short."));
        }
        return Either.right(count(caller, callerClass.share()));
    }

    /**
     * Closes a request of a caller.
     *
     * @param caller the caller, as given to {@link #tryAcquire}
     */
    public void release(CallerName caller) {
        OpenRequests requests = open.get(caller);
        if (requests == null) {
            return;
        }
        requests.count--;
        openTotal--;
        if (requests.count == 0) {
            open.remove(caller);
            openWeight -= requests.weight;
        }
    }

    /**
     * Returns the callers with open requests, for the state dump.
     *
     * @return number of callers
     */
    public int activeCallers() {
        return open.size();
    }

    // ------------------------------------------------------------------ internals

    private boolean isOverShare(int already, double weight, boolean newcomer) {
        if (already < ALWAYS_ALLOWED) {
            return false;
        }
        double weights = newcomer ? openWeight + weight : openWeight;
        double fair = (openTotal + 1) * weight / weights;
        return already + 1 > Math.max(ALWAYS_ALLOWED, fair * SHARE_HEADROOM);
    }

    private int count(CallerName caller, double weight) {
        OpenRequests requests = open.get(caller);
        if (requests == null) {
            requests = new OpenRequests(weight);
            open.put(caller, requests);
            openWeight += weight;
        }
        requests.count++;
        openTotal++;
        return requests.count;
    }

    private Failure refusal(CallerClass callerClass, String detail) {
        return Failure.retryable(
                ResultCode.CALLER_LIMIT, detail, retryDelay.retryAfterMillis(COME_BACK_MILLIS, callerClass.priority()));
    }

    /** Open requests of one caller. */
    private static final class OpenRequests {
        private final double weight;
        private int count;

        OpenRequests(double weight) {
            this.weight = weight;
        }
    }
}
