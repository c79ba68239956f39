package org.merlinwood.replay.policy;

import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** One entry of the replayed fleet. Dispatches requests by its decisions. Not thread-safe. */
public final class FakeEntry {

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;

    /**
     * Creates an entry.
     *
     * @param fleet the fakes of the instances
     * @param decisions decisions of the policy
     */
    public FakeEntry(FleetFakes fleet, RoutingDecisions decisions) {
        this.fleet = fleet;
        this.decisions = decisions;
    }

    /**
     * Starts an attempt of a model request.
     *
     * @param attempt the attempt
     */
    public void handleModelRequest(ModelAttempt attempt) {
        new ModelDispatch(fleet, decisions, attempt).start();
    }

    /**
     * Starts a plain request.
     *
     * @param listener receives the outcome
     */
    public void handlePlainRequest(AttemptResultListener listener) {
        new PlainDispatch(fleet, decisions, listener).start();
    }

    /**
     * Records a cache event of a prefill instance.
     *
     * @param name the instance
     * @param blocks prefix blocks that the instance stored
     */
    public void recordCached(InstanceName name, PrefixBlocks blocks) {
        decisions.recordCached(name, blocks);
    }
}
