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
 * Limits the open requests of each caller at one entry: always to the limit of the caller's class, and under contention
 * also to a share in proportion to the weights of the classes.
 *
 * <p>Keeps state only for callers with open requests, not for all callers of the rules. Not thread-safe: used by the
 * entry's control thread only.
 */
public final class CallerShares {

    private static final long RETRY_AFTER_MILLIS = 500;
    private static final double SHARE_HEADROOM = 1.25;
    private static final int GUARANTEED_REQUESTS = 2;

    private final RetryDelay retryDelay;
    private final Map<CallerName, OpenRequests> openByCaller = new HashMap<>();
    private double openWeight;
    private int openTotal;

    /**
     * Creates an instance without open requests.
     *
     * @param retryDelay randomizes the retry-after times of refusals
     */
    public CallerShares(RetryDelay retryDelay) {
        this.retryDelay = retryDelay;
    }

    /**
     * Opens a request of a caller if its limits allow it. Each success must be followed by exactly one
     * {@link #release}.
     *
     * @param caller the caller
     * @param callerClass class of the caller
     * @param contended true while requests are queued or refused for lack of capacity
     * @return the caller's number of open requests including this one, or the failure to return to the caller
     */
    public Either<Failure, Integer> tryAcquire(CallerName caller, CallerClass callerClass, boolean contended) {
        OpenRequests requests = openByCaller.get(caller);
        int openCount = requests == null ? 0 : requests.count;
        if (openCount >= callerClass.concurrentRequests()) {
            return Either.left(refusal(callerClass, "The caller has " + openCount + " open requests at this entry."));
        }
        if (contended && isOverShare(openCount, callerClass.share(), requests == null)) {
            return Either.left(refusal(callerClass, "The caller exceeds its share while capacity is short."));
        }
        return Either.right(count(caller, callerClass.share()));
    }

    /**
     * Closes a request of a caller. Ignored if the caller has no open request.
     *
     * @param caller the caller passed to {@link #tryAcquire}
     */
    public void release(CallerName caller) {
        OpenRequests requests = openByCaller.get(caller);
        if (requests == null) {
            return;
        }
        requests.count--;
        openTotal--;
        if (requests.count == 0) {
            openByCaller.remove(caller);
            openWeight -= requests.weight;
        }
    }

    /**
     * Returns the number of callers with open requests, for the state dump.
     *
     * @return number of callers
     */
    public int activeCallers() {
        return openByCaller.size();
    }

    private boolean isOverShare(int openCount, double weight, boolean firstRequest) {
        if (openCount < GUARANTEED_REQUESTS) {
            return false;
        }
        double totalWeight = firstRequest ? openWeight + weight : openWeight;
        double fairShare = (openTotal + 1) * weight / totalWeight;
        return openCount + 1 > Math.max(GUARANTEED_REQUESTS, fairShare * SHARE_HEADROOM);
    }

    private int count(CallerName caller, double weight) {
        OpenRequests requests = openByCaller.get(caller);
        if (requests == null) {
            requests = new OpenRequests(weight);
            openByCaller.put(caller, requests);
            openWeight += weight;
        }
        requests.count++;
        openTotal++;
        return requests.count;
    }

    private Failure refusal(CallerClass callerClass, String detail) {
        return Failure.retryable(
                ResultCode.CALLER_LIMIT,
                detail,
                retryDelay.retryAfterMillis(RETRY_AFTER_MILLIS, callerClass.priority()));
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
