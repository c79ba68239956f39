package org.merlinwood.proving.prove;

import java.util.List;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;

/** Proves that draining instances get no new work and that a graceful shutdown cuts no stream. Stateless. */
final class GracefulShutdown {

    private static final int STREAMS = 16;
    private static final int TOKENS = 200;
    private static final int SHORT_TOKENS = 20;
    private static final int LATER_STREAMS = 30;
    private static final long DRAIN_PROPAGATION_MILLIS = 4_000;
    private static final long EXIT_MILLIS = 30_000;
    private static final int FAULTS_SHOWN = 4;

    private GracefulShutdown() {}

    /** Marks a decode instance as draining in the inventory. */
    static ProofResult drainedByInventory(ProofContext context) throws InterruptedException {
        Sidecar leaving = context.choose(context.fleet().sidecars(InstanceRole.DECODE));
        StreamSet before = new StreamSet(context).send(STREAMS, TOKENS);
        if (!before.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        context.fleet().publish(withState(context, leaving, InstanceState.DRAINING));
        Thread.sleep(DRAIN_PROPAGATION_MILLIS);
        long sinceMillis = SystemMillisClock.shared().wallMillis();
        StreamSet after = new StreamSet(context).send(LATER_STREAMS, SHORT_TOKENS);
        List<String> faults = after.faults();
        long late = startedSince(context, leaving, sinceMillis);
        List<String> cut = before.faults();
        context.fleet().publish(context.fleet().instances());
        String figures = late + " runs started at " + leaving.name() + " later than 4 s after; of streams before "
                + cut.size() + " not whole, of streams after " + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList();
        return ProofResult.of(late == 0 && cut.isEmpty() && faults.isEmpty(), figures);
    }

    /** Terminates a decode sidecar gracefully under load. */
    static ProofResult sidecarTerminated(ProofContext context) throws InterruptedException {
        Sidecar leaving = context.choose(context.fleet().sidecars(InstanceRole.DECODE));
        return terminated(context, leaving.process());
    }

    /** Terminates an entry gracefully under load. */
    static ProofResult entryTerminated(ProofContext context) throws InterruptedException {
        FleetProcess leaving = context.entry(0).process();
        return terminated(context, leaving);
    }

    private static ProofResult terminated(ProofContext context, FleetProcess leaving) throws InterruptedException {
        StreamSet streams = new StreamSet(context).send(STREAMS, TOKENS);
        if (!streams.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        leaving.terminate();
        List<String> faults = streams.faults();
        boolean ended = leaving.awaitEnd(EXIT_MILLIS);
        int status = ended ? leaving.exitStatus() : -1;
        String figures = streams.size() + " streams, " + faults.size() + " cut "
                + faults.stream().limit(FAULTS_SHOWN).toList() + ", exit status " + status;
        return ProofResult.of(faults.isEmpty() && ended && status == 0, figures);
    }

    private static List<Instance> withState(ProofContext context, Sidecar changed, InstanceState state) {
        return context.fleet().instances().stream()
                .map(instance -> instance.name().equals(changed.instance().name()) ? with(instance, state) : instance)
                .toList();
    }

    private static Instance with(Instance row, InstanceState state) {
        return new Instance(
                row.name(),
                row.address(),
                row.failureDomain(),
                row.region(),
                row.service(),
                row.role(),
                row.models(),
                row.pieces(),
                row.concurrency(),
                row.orderFencing(),
                state);
    }

    private static long startedSince(ProofContext context, Sidecar sidecar, long sinceMillis) {
        return context.fleet().probe().engineLedger(sidecar.upstream()).runs().stream()
                .map(EngineRun::startedAtMillis)
                .filter(started -> started >= sinceMillis)
                .count();
    }
}
