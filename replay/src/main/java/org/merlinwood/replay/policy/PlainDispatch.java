package org.merlinwood.replay.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.replay.fake.PlainCall;

/** Takes one idempotent plain call to an instance, and to another where the first is lost. Not thread-safe. */
final class PlainDispatch {

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;
    private final RunListener listener;
    private final Set<InstanceName> tried = new HashSet<>();

    PlainDispatch(FleetFakes fleet, RoutingDecisions decisions, RunListener listener) {
        this.fleet = fleet;
        this.decisions = decisions;
        this.listener = listener;
    }

    void begin() {
        Optional<Instance> chosen = decisions.choosePlain(tried);
        if (chosen.isEmpty()) {
            listener.ended(RunOutcome.REFUSED, RunListener.NO_TIME);
            return;
        }
        InstanceName name = chosen.get().name();
        decisions.started(InstanceRole.PLAIN, name, 1);
        fleet.plain(name).call(new PlainCall(() -> done(name), () -> lost(name)));
    }

    private void done(InstanceName name) {
        decisions.ended(InstanceRole.PLAIN, name, 1);
        decisions.observe(InstanceRole.PLAIN, name, fleet.plain(name).load());
        listener.ended(RunOutcome.WHOLE, RunListener.NO_TIME);
    }

    private void lost(InstanceName name) {
        decisions.ended(InstanceRole.PLAIN, name, 1);
        decisions.unreachable(InstanceRole.PLAIN, name);
        tried.add(name);
        if (decisions.mayRetry()) {
            begin();
        } else {
            listener.ended(RunOutcome.FAILED, RunListener.NO_TIME);
        }
    }
}
