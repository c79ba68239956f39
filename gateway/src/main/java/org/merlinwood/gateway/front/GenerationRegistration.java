package org.merlinwood.gateway.front;

import java.util.Optional;
import java.util.function.Supplier;
import org.merlinwood.gateway.decision.ActiveGeneration;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.PendingGeneration;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * The generation that one request prepares or has in progress, as it is registered with the instance pool; at most one
 * at a time. Used by the event loop alone.
 */
final class GenerationRegistration {

    private final InstancePool pool;
    private final Supplier<PendingGeneration> pending;
    private Optional<ActiveGeneration> active = Optional.empty();

    /**
     * Creates an empty registration.
     *
     * @param pool the instance pool
     * @param pending returns what is to be generated now
     */
    GenerationRegistration(InstancePool pool, Supplier<PendingGeneration> pending) {
        this.pool = pool;
        this.pending = pending;
    }

    void begin(UpstreamInstance instance) {
        active = Optional.of(pool.beginGeneration(instance.identifier(), pending.get()));
    }

    void beginIfAbsent(UpstreamInstance instance) {
        if (active.isEmpty()) {
            begin(instance);
        }
    }

    void end() {
        active.ifPresent(pool::endGeneration);
        active = Optional.empty();
    }

    /** Returns the registration without ending it, and holds none any more. */
    Optional<ActiveGeneration> take() {
        Optional<ActiveGeneration> taken = active;
        active = Optional.empty();
        return taken;
    }

    /** Holds a registration that was taken before. */
    void restore(Optional<ActiveGeneration> taken) {
        active = taken;
    }

    void addTokens(int tokens) {
        active.ifPresent(generation -> generation.addTokens(tokens));
    }

    /** Returns the number of tokens that were generated, 0 if none is registered. */
    int generatedTokens() {
        return active.map(ActiveGeneration::generatedTokens).orElse(0);
    }
}
