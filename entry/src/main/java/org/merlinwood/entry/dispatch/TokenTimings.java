package org.merlinwood.entry.dispatch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.entry.machine.RequestAction;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.wire.AnswerPart;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.PrefillDone;

/**
 * Times of one request to a model: of its prefill, of the transfer of the KV cache, of the first token and between
 * tokens. Used by the control thread, except for {@link #recordPart}, which event loops call, one at a time.
 */
final class TokenTimings {

    private final ClassifiedRequest request;
    private final DispatchComponents components;
    private final ControlState state;
    private final AtomicReference<Transfer> pendingTransfer = new AtomicReference<>();
    private Optional<Prefilled> prefilled = Optional.empty();
    private long prefillStartedMillis;
    private volatile long lastPartMillis;

    TokenTimings(ClassifiedRequest request, DispatchComponents components, ControlState state) {
        this.request = request;
        this.components = components;
        this.state = state;
    }

    /** Called before a prefill is sent. */
    void prefillStarted() {
        prefillStartedMillis = components.clock().monotonicMillis();
    }

    /** Called when a prefill has completed at an instance. */
    void prefillDone(InstanceName instance, PrefillDone done) {
        long nowMillis = components.clock().monotonicMillis();
        prefilled = Optional.of(new Prefilled(done.getCache(), nowMillis));
        state.recordPrefill(
                (ClassifiedRequest.ModelRequest) request,
                instance,
                done.getComputedTokens(),
                nowMillis - prefillStartedMillis);
    }

    /** Called before a decode is sent. */
    void decodeStarted(RequestAction.ExecuteDecode execute) {
        pendingTransfer.set(transferFor(execute));
    }

    /** Records a part of the response; parts without tokens are ignored. */
    void recordPart(AnswerPart part) {
        if (part.getTokensCount() == 0) {
            return;
        }
        long nowMillis = components.clock().monotonicMillis();
        recordTransfer(part.getRequest().getAttempt(), nowMillis);
        if (lastPartMillis == 0) {
            components
                    .metrics()
                    .firstToken(components.clock().monotonicMillis()
                            - request.identified().accepted().arrivedMillis());
        } else {
            components.metrics().betweenTokens(nowMillis - lastPartMillis);
        }
        lastPartMillis = nowMillis;
    }

    private void recordTransfer(int attempt, long nowMillis) {
        Transfer pending = pendingTransfer.get();
        if (pending != null && pending.attempt() == attempt && pendingTransfer.compareAndSet(pending, null)) {
            components.control().execute(() -> state.recordTransfer(pending.bytes(), nowMillis - pending.doneMillis()));
        }
    }

    /** Returns null unless the decode engine receives the result of a prefill whose end time is known. */
    private Transfer transferFor(RequestAction.ExecuteDecode execute) {
        return prefilled
                .filter(done -> execute.cache().filter(done.cache()::equals).isPresent())
                .map(done -> new Transfer(execute.attempt(), done.cache().getBytes(), done.doneMillis()))
                .orElse(null);
    }

    /** Result of a prefill and the time at which it completed. */
    private record Prefilled(CacheHandle cache, long doneMillis) {}

    /** Transfer of a KV cache to the decode engine of an attempt that has not returned a token yet. */
    private record Transfer(int attempt, long bytes, long doneMillis) {}
}
