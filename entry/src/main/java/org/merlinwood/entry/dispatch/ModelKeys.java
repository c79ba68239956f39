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
 * Idempotency keys of the open model requests. If two requests have the same key, the later one supersedes the earlier
 * one. Contains at most one key for each open request. Not thread-safe: used by the control thread only.
 */
final class ModelKeys {

    private final Map<OwnedKey, Holder> holders = new HashMap<>();

    /**
     * Acquires the key of a request for it.
     *
     * @param request the request
     * @param supersede ends the earlier request with the same key
     * @return the failure, if a different request with the key is open
     */
    Optional<Failure> acquire(ModelRequest request, Consumer<RequestIdentifier> supersede) {
        Optional<OwnedKey> key = key(request);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        Holder earlier = holders.get(key.get());
        if (earlier != null && !earlier.fingerprint().equals(request.fingerprint())) {
            return Optional.of(Failure.of(ResultCode.KEY_REUSED, "another request with this key is open")
                    .withExecutionState(ExecutionState.UNKNOWN));
        }
        holders.put(key.get(), new Holder(identifier(request), request.fingerprint()));
        if (earlier != null) {
            supersede.accept(earlier.request());
        }
        return Optional.empty();
    }

    /** Removes the key of a request, unless a later request has acquired it. */
    void release(ClassifiedRequest request) {
        key(request)
                .ifPresent(key -> holders.computeIfPresent(
                        key, (unused, holder) -> holder.request().equals(identifier(request)) ? null : holder));
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
