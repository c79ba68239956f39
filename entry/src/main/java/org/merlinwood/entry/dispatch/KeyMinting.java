package org.merlinwood.entry.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.request.ClassifiedRequest.MintRequest;
import org.merlinwood.protocol.PeerConnection;

/**
 * Mints one idempotency key. Chooses an instance and connects to its sidecar to obtain the incarnation that is encoded
 * in the key. Used by the control thread only.
 */
final class KeyMinting {

    private static final int MAXIMUM_ATTEMPTS = 3;

    private final MintRequest request;
    private final RequestSink sink;
    private final DispatchComponents components;
    private final ControlState state;
    private final Runnable onCompleted;
    private final Set<InstanceName> triedInstances = new HashSet<>();

    KeyMinting(
            MintRequest request,
            RequestSink sink,
            DispatchComponents components,
            ControlState state,
            Runnable onCompleted) {
        this.request = request;
        this.sink = sink;
        this.components = components;
        this.state = state;
        this.onCompleted = onCompleted;
    }

    void start() {
        Optional<Instance> chosen = triedInstances.size() < MAXIMUM_ATTEMPTS
                ? state.choose(request, InstanceRole.PLAIN, triedInstances)
                : Optional.empty();
        if (chosen.isPresent()) {
            triedInstances.add(chosen.get().name());
            connect(chosen.get());
        } else {
            refuse();
        }
    }

    // ------------------------------------------------------------------ internals

    private void connect(Instance instance) {
        var unused = components
                .endpoint()
                .connect(instance.address().toSocketAddress())
                .whenComplete((result, none) -> components
                        .control()
                        .execute(() -> result.peek(connection -> mint(instance, connection))
                                .peekLeft(failure -> tryNext(instance, failure))));
    }

    private void mint(Instance instance, PeerConnection connection) {
        components.metrics().requestEnded(ResultCode.OK);
        sink.mintedKey(RequestMessages.mint(request, instance, connection, components));
        onCompleted.run();
    }

    private void tryNext(Instance instance, Failure failure) {
        state.recordFailure(request, InstanceRole.PLAIN, instance.name(), failure);
        start();
    }

    private void refuse() {
        int priority = request.identified().callerClass().priority();
        long retryAfterMillis =
                state.retryDelay().retryAfterMillis(ControlState.UNREACHABLE_EXCLUSION_MILLIS, priority);
        components.metrics().requestEnded(ResultCode.NO_INSTANCE);
        sink.failure(
                Failure.retryable(ResultCode.NO_INSTANCE, "no instance of the service is reachable", retryAfterMillis));
        onCompleted.run();
    }
}
