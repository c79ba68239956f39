package org.merlinwood.gateway.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.decision.ActiveGeneration;
import org.merlinwood.http.HttpListener;

/**
 * An attempt whose instance is silent, kept open while a replacement at another instance is prepared and until an
 * instance has accepted that.
 *
 * <p>What the instance sends once the replacement was sent is held back: only one of the two attempts may go on, and
 * the instance of the replacement may have begun. Used by the event loop alone.
 */
final class SilentAttempt {

    private final UpstreamWork work;
    private final Optional<ActiveGeneration> generation;
    private final HttpListener attempt;
    private final List<Runnable> heldBack = new ArrayList<>();

    /**
     * Creates a silent attempt that holds nothing back.
     *
     * @param work the request to the instance
     * @param generation the generation as it is registered with the instance pool
     * @param attempt receives the response
     */
    SilentAttempt(UpstreamWork work, Optional<ActiveGeneration> generation, HttpListener attempt) {
        this.work = work;
        this.generation = generation;
        this.attempt = attempt;
    }

    UpstreamWork work() {
        return work;
    }

    Optional<ActiveGeneration> generation() {
        return generation;
    }

    HttpListener attempt() {
        return attempt;
    }

    /** Returns the identifier of the instance. */
    String instance() {
        return work.instance().identifier();
    }

    /**
     * Holds a part of the response back.
     *
     * @param part processes the part
     */
    void holdBack(Runnable part) {
        heldBack.add(part);
    }

    /** Returns whether the instance has sent something since the replacement was sent. */
    boolean holdsBack() {
        return !heldBack.isEmpty();
    }

    /** Processes what was held back, in its order. */
    void release() {
        List<Runnable> parts = List.copyOf(heldBack);
        heldBack.clear();
        parts.forEach(Runnable::run);
    }
}
