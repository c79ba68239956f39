package org.merlinwood.replay.policy;

import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.decision.prefix.PrefixBlocks;

/** One entry of the replayed fleet. Not thread-safe. */
public final class FakeEntry {

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;

    /**
     * Creates an entry.
     *
     * @param fleet the fakes
     * @param decisions what it decides
     */
    public FakeEntry(FleetFakes fleet, RoutingDecisions decisions) {
        this.fleet = fleet;
        this.decisions = decisions;
    }

    /**
     * Takes a send of a model request.
     *
     * @param run the send
     */
    public void model(ModelRun run) {
        new ModelDispatch(fleet, decisions, run).begin();
    }

    /**
     * Takes a plain call.
     *
     * @param listener is told how it ended
     */
    public void plain(RunListener listener) {
        new PlainDispatch(fleet, decisions, listener).begin();
    }

    /**
     * Takes a cache event.
     *
     * @param name the instance
     * @param blocks the prefixes that it stored
     */
    public void cached(InstanceName name, PrefixBlocks blocks) {
        decisions.cached(name, blocks);
    }
}
