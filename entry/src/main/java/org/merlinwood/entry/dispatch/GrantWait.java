package org.merlinwood.entry.dispatch;

import java.util.Collection;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.entry.request.ClassifiedRequest;

/** Decides how long sidecars may queue the grants of one request. Used by the control thread only. */
final class GrantWait {

    private final ClassifiedRequest request;
    private final ControlState state;

    GrantWait(ClassifiedRequest request, ControlState state) {
        this.request = request;
        this.state = state;
    }

    /**
     * Returns how long a sidecar may queue the grant. The target for the first token does not apply to a response that
     * has started. A prefill grant is useless once the decode grant has expired, so it does not wait longer than that.
     *
     * @param role role of the instance
     * @param responseStarted whether a decode has been sent for the request
     * @param remainingMillis time until the deadline of the request, in milliseconds; negative once it has passed
     * @param attempts all attempts of the request so far
     * @return time in milliseconds, at least 0
     */
    long millis(
            InstanceRole role, boolean responseStarted, long remainingMillis, Collection<UpstreamAttempt> attempts) {
        long targetMillis = targetMillis(role, responseStarted);
        long waitMillis = Math.min(targetMillis, Math.max(0, remainingMillis));
        if (role != InstanceRole.PREFILL) {
            return waitMillis;
        }
        return attempts.stream()
                .filter(attempt -> attempt.phase() == UpstreamAttempt.Phase.GRANTED)
                .mapToLong(UpstreamAttempt::grantRemainingMillis)
                .reduce(waitMillis, Math::min);
    }

    private long targetMillis(InstanceRole role, boolean responseStarted) {
        boolean isBound = !responseStarted && request instanceof ClassifiedRequest.ModelRequest;
        return isBound ? state.grantWaitMillis((ClassifiedRequest.ModelRequest) request, role) : Long.MAX_VALUE;
    }
}
