package org.merlinwood.entry.dispatch;

import java.net.InetSocketAddress;
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
 * Mints one key: chooses an instance, and connects to its sidecar to learn which life of it the key has to name. Used
 * by the control thread only.
 */
final class KeyMinting {

    private static final int MAXIMUM_ATTEMPTS = 3;

    private final MintRequest call;
    private final RequestSink sink;
    private final DispatchComponents parts;
    private final ControlState state;
    private final Runnable onSettled;
    private final Set<InstanceName> tried = new HashSet<>();

    KeyMinting(MintRequest call, RequestSink sink, DispatchComponents parts, ControlState state, Runnable onSettled) {
        this.call = call;
        this.sink = sink;
        this.parts = parts;
        this.state = state;
        this.onSettled = onSettled;
    }

    void start() {
        Optional<Instance> chosen =
                tried.size() < MAXIMUM_ATTEMPTS ? state.choose(call, InstanceRole.PLAIN, tried) : Optional.empty();
        if (chosen.isPresent()) {
            tried.add(chosen.get().name());
            connect(chosen.get());
        } else {
            refuse();
        }
    }

    // ------------------------------------------------------------------ internals

    private void connect(Instance instance) {
        InetSocketAddress address = new InetSocketAddress(
                instance.address().host(), instance.address().port());
        var unused = parts.endpoint()
                .connect(address)
                .whenComplete((result, none) -> parts.control()
                        .execute(() -> result.peek(connection -> mint(instance, connection))
                                .peekLeft(failure -> tryNext(instance, failure))));
    }

    private void mint(Instance instance, PeerConnection connection) {
        parts.metrics().ended(ResultCode.OK);
        sink.mintedKey(RequestMessages.mint(call, instance, connection, parts));
        onSettled.run();
    }

    private void tryNext(Instance instance, Failure failure) {
        state.recordFailure(call, InstanceRole.PLAIN, instance.name(), failure);
        start();
    }

    private void refuse() {
        int priority = call.identified().callerClass().priority();
        long retryAfterMillis = state.retryDelay().retryAfterMillis(ControlState.UNREACHABLE_MILLIS, priority);
        parts.metrics().ended(ResultCode.NO_INSTANCE);
        sink.failure(
                Failure.retryable(ResultCode.NO_INSTANCE, "no instance of the service is reachable", retryAfterMillis));
        onSettled.run();
    }
}
