package org.merlinwood.entry.dispatch;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.ClassifiedRequest.ModelRequest;

/**
 * The idempotency keys of open model requests: of two with the same key only the later one is answered. Holds as many
 * keys as there are open requests. Not thread-safe: used by the control thread only.
 */
final class ModelKeys {

    private final Map<OwnedKey, Holder> holders = new HashMap<>();

    /**
     * Gives the key of a request to it.
     *
     * @param call the request
     * @param supersede ends the request that had the key
     * @return the final answer, if another request has the key
     */
    Optional<Failure> take(ModelRequest call, Consumer<RequestIdentifier> supersede) {
        Optional<OwnedKey> key = key(call);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        Holder earlier = holders.get(key.get());
        if (earlier != null && !earlier.fingerprint().equals(call.fingerprint())) {
            return Optional.of(Failure.of(ResultCode.KEY_REUSED, "another request with this key is open")
                    .withExecutionState(ExecutionState.UNKNOWN));
        }
        holders.put(key.get(), new Holder(identifier(call), call.fingerprint()));
        if (earlier != null) {
            supersede.accept(earlier.request());
        }
        return Optional.empty();
    }

    /** Forgets the key of a request, unless a later one has it. */
    void release(ClassifiedRequest request) {
        key(request)
                .ifPresent(key -> holders.computeIfPresent(
                        key, (same, holder) -> holder.request().equals(identifier(request)) ? null : holder));
    }

    // ------------------------------------------------------------------ internals

    private static Optional<OwnedKey> key(ClassifiedRequest request) {
        return request.identified()
                .accepted()
                .idempotencyKey()
                .map(key -> new OwnedKey(request.identified().caller(), key));
    }

    private static RequestIdentifier identifier(ClassifiedRequest request) {
        return request.identified().accepted().identifier();
    }

    private record OwnedKey(CallerName caller, String key) {}

    private record Holder(RequestIdentifier request, ByteString fingerprint) {}
}
