package org.merlinwood.replay.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.replay.fake.PlainRequestWork;

/** Sends an idempotent plain request to an instance, and to another one if the first is lost. Not thread-safe. */
final class PlainDispatch {

    private final FleetFakes fleet;
    private final RoutingDecisions decisions;
    private final AttemptResultListener listener;
    private final Set<InstanceName> tried = new HashSet<>();

    PlainDispatch(FleetFakes fleet, RoutingDecisions decisions, AttemptResultListener listener) {
        this.fleet = fleet;
        this.decisions = decisions;
        this.listener = listener;
    }

    void start() {
        Optional<Instance> chosen = decisions.choosePlain(tried);
        if (chosen.isEmpty()) {
            listener.onEnded(RunOutcome.REFUSED, AttemptResultListener.NO_RETRY_AFTER);
            return;
        }
        InstanceName name = chosen.get().name();
        decisions.recordStart(InstanceRole.PLAIN, name, 1);
        fleet.plain(name).execute(new PlainRequestWork(() -> onCompleted(name), () -> onLost(name)));
    }

    private void onCompleted(InstanceName name) {
        decisions.recordEnd(InstanceRole.PLAIN, name, 1);
        decisions.observe(InstanceRole.PLAIN, name, fleet.plain(name).load());
        listener.onEnded(RunOutcome.WHOLE, AttemptResultListener.NO_RETRY_AFTER);
    }

    private void onLost(InstanceName name) {
        decisions.recordEnd(InstanceRole.PLAIN, name, 1);
        decisions.markUnreachable(InstanceRole.PLAIN, name);
        tried.add(name);
        if (decisions.mayRetry()) {
            start();
        } else {
            listener.onEnded(RunOutcome.FAILED, AttemptResultListener.NO_RETRY_AFTER);
        }
    }
}
