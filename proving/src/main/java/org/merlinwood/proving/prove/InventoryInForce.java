package org.merlinwood.proving.prove;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;

/** Accepted changes are in force everywhere within seconds and never revert. Stateless. */
final class InventoryInForce {

    private static final int CHANGES = 5;
    private static final long IN_FORCE_MILLIS = 4_000;
    private static final long RECOVERY_MILLIS = 20_000;

    private static final long NOT_SHOWN = -1;

    private InventoryInForce() {}

    /** Publishes changes and waits until every process has them in force. */
    static ProofResult everywhere(Workbench bench) throws InterruptedException {
        long slowestMillis = 0;
        for (int change = 0; change < CHANGES; change++) {
            long publishedMillis = SystemMillisClock.shared().wallMillis();
            long revision = bench.fleet().publish(bench.fleet().instances());
            if (!Workbench.await(RECOVERY_MILLIS, () -> lowestRevision(bench) >= revision)) {
                return ProofResult.fail(
                        "revision " + revision + " is not in force everywhere, lowest " + lowestRevision(bench));
            }
            slowestMillis = Math.max(slowestMillis, SystemMillisClock.shared().wallMillis() - publishedMillis);
        }
        return ProofResult.of(
                slowestMillis <= IN_FORCE_MILLIS,
                CHANGES + " changes, slowest in force everywhere after " + slowestMillis + " ms");
    }

    /** Restarts processes while the configuration service shows an old revision. */
    static ProofResult neverReverts(Workbench bench) throws InterruptedException {
        long revision = bench.fleet().publish(bench.fleet().instances());
        if (!Workbench.await(RECOVERY_MILLIS, () -> lowestRevision(bench) >= revision)) {
            return ProofResult.fail("revision " + revision + " is not in force everywhere");
        }
        bench.fleet().probe().command(bench.fleet().platform().administration(), "/stale/inventory?revision=1");
        Entry entry = bench.choose(bench.fleet().entries());
        Sidecar sidecar = bench.choose(bench.fleet().sidecars());
        restart(bench, entry.process(), entry.operatorAddress());
        restart(bench, sidecar.process(), sidecar.operatorAddress());
        long lowest = lowestRevision(bench);
        return ProofResult.of(
                lowest >= revision,
                "published " + revision + ", service shows 1, lowest in force after restarts of "
                        + entry.process().name() + " and " + sidecar.name() + " is " + lowest);
    }

    // ------------------------------------------------------------------ internals

    private static void restart(Workbench bench, FleetProcess process, InetSocketAddress operatorAddress) {
        process.restart();
        bench.fleet().awaitReady(process, operatorAddress);
    }

    private static long lowestRevision(Workbench bench) {
        return operatorAddresses(bench).stream()
                .mapToLong(address -> inventoryRevision(bench, address))
                .min()
                .orElseThrow();
    }

    private static long inventoryRevision(Workbench bench, InetSocketAddress address) {
        return bench.fleet().probe().dump(address).findValues("inventory").stream()
                .filter(section -> section.has("revision") && section.has("digest"))
                .mapToLong(section -> section.path("revision").asLong())
                .findFirst()
                .orElse(NOT_SHOWN);
    }

    private static List<InetSocketAddress> operatorAddresses(Workbench bench) {
        return Stream.concat(
                        bench.fleet().entries().stream().map(Entry::operatorAddress),
                        bench.fleet().sidecars().stream().map(Sidecar::operatorAddress))
                .toList();
    }
}
