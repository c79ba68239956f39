package org.merlinwood.proving.prove;

import java.util.List;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.InstanceState;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;

/** Leaving instances get no new work, and a graceful shutdown cuts nothing. Stateless. */
final class Leaving {

    private static final int STREAMS = 16;
    private static final int TOKENS = 200;
    private static final int SHORT_TOKENS = 20;
    private static final int LATER_STREAMS = 30;
    private static final long SECONDS_ALLOWED_MILLIS = 4_000;
    private static final long EXIT_MILLIS = 30_000;
    private static final int FAULTS_SHOWN = 4;

    private Leaving() {}

    /** The operators mark a decode instance as draining. */
    static ProofResult drainedByInventory(Workbench bench) throws InterruptedException {
        Sidecar leaving = bench.choose(bench.fleet().sidecars(InstanceRole.DECODE));
        StreamSet before = new StreamSet(bench).send(STREAMS, TOKENS);
        if (!before.awaitFirstTokens()) {
            return ProofResult.fail("the streams did not start");
        }
        bench.fleet().publish(withState(bench, leaving, InstanceState.DRAINING));
        Thread.sleep(SECONDS_ALLOWED_MILLIS);
        long sinceMillis = SystemMillisClock.shared().wallMillis();
        StreamSet after = new StreamSet(bench).send(LATER_STREAMS, SHORT_TOKENS);
        List<String> faults = after.faults();
        long late = startedSince(bench, leaving, sinceMillis);
        List<String> cut = before.faults();
        bench.fleet().publish(bench.fleet().instances());
        String figures = late + " runs started at " + leaving.name() + " later than 4 s after; of streams before "
                + cut.size() + " not whole, of streams after " + faults.size() + " not whole "
                + faults.stream().limit(FAULTS_SHOWN).toList();
        return ProofResult.of(late == 0 && cut.isEmpty() && faults.isEmpty(), figures);
    }

    /** A decode sidecar is asked to end under load. */
    static ProofResult sidecarTerminated(Workbench bench) throws InterruptedException {
        Sidecar leaving = bench.choose(bench.fleet().sidecars(InstanceRole.DECODE));
        return terminated(bench, leaving.process());
    }

    /** An entry is asked to end under load. */
    static ProofResult entryTerminated(Workbench bench) throws InterruptedException {
        FleetProcess leaving = bench.entry(0).process();
        return terminated(bench, leaving);
    }

    // ------------------------------------------------------------------ internals

    private static ProofResult terminated(Workbench bench, FleetProcess leaving) throws InterruptedException {
        StreamSet streams = new StreamSet(bench).send(STREAMS, TOKENS);
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

    private static List<Instance> withState(Workbench bench, Sidecar changed, InstanceState state) {
        return bench.fleet().instances().stream()
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

    private static long startedSince(Workbench bench, Sidecar sidecar, long sinceMillis) {
        return bench.fleet().probe().engineLedger(sidecar.upstream()).runs().stream()
                .map(EngineRun::startedAtMillis)
                .filter(started -> started >= sinceMillis)
                .count();
    }
}
