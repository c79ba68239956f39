package org.merlinwood.proving.prove;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;

/** Proves that accepted inventory changes become active in every process within seconds and never revert. Stateless. */
final class InventoryInForce {

    private static final int CHANGES = 5;
    private static final long ACTIVATION_MILLIS = 4_000;
    private static final long RECOVERY_MILLIS = 20_000;

    private static final long NO_REVISION = -1;

    private InventoryInForce() {}

    /** Publishes changes and waits until they are active in every process. */
    static ProofResult everywhere(ProofContext context) throws InterruptedException {
        long slowestMillis = 0;
        for (int change = 0; change < CHANGES; change++) {
            long publishedMillis = SystemMillisClock.shared().wallMillis();
            long revision = context.fleet().publish(context.fleet().instances());
            if (!ProofContext.await(RECOVERY_MILLIS, () -> lowestRevision(context) >= revision)) {
                return ProofResult.fail(
                        "revision " + revision + " is not in force everywhere, lowest " + lowestRevision(context));
            }
            slowestMillis = Math.max(slowestMillis, SystemMillisClock.shared().wallMillis() - publishedMillis);
        }
        return ProofResult.of(
                slowestMillis <= ACTIVATION_MILLIS,
                CHANGES + " changes, slowest in force everywhere after " + slowestMillis + " ms");
    }

    /** Restarts processes while the configuration service serves an old revision. */
    static ProofResult neverReverts(ProofContext context) throws InterruptedException {
        long revision = context.fleet().publish(context.fleet().instances());
        if (!ProofContext.await(RECOVERY_MILLIS, () -> lowestRevision(context) >= revision)) {
            return ProofResult.fail("revision " + revision + " is not in force everywhere");
        }
        context.fleet().probe().command(context.fleet().platform().administration(), "/stale/inventory?revision=1");
        Entry entry = context.choose(context.fleet().entries());
        Sidecar sidecar = context.choose(context.fleet().sidecars());
        restart(context, entry.process(), entry.operatorAddress());
        restart(context, sidecar.process(), sidecar.operatorAddress());
        long lowest = lowestRevision(context);
        return ProofResult.of(
                lowest >= revision,
                "published " + revision + ", service shows 1, lowest in force after restarts of "
                        + entry.process().name() + " and " + sidecar.name() + " is " + lowest);
    }

    private static void restart(ProofContext context, FleetProcess process, InetSocketAddress operatorAddress) {
        process.restart();
        context.fleet().awaitReady(process, operatorAddress);
    }

    private static long lowestRevision(ProofContext context) {
        return operatorAddresses(context).stream()
                .mapToLong(address -> inventoryRevision(context, address))
                .min()
                .orElseThrow();
    }

    private static long inventoryRevision(ProofContext context, InetSocketAddress address) {
        return context.fleet().probe().dump(address).findValues("inventory").stream()
                .filter(section -> section.has("revision") && section.has("digest"))
                .mapToLong(section -> section.path("revision").asLong())
                .findFirst()
                .orElse(NO_REVISION);
    }

    private static List<InetSocketAddress> operatorAddresses(ProofContext context) {
        return Stream.concat(
                        context.fleet().entries().stream().map(Entry::operatorAddress),
                        context.fleet().sidecars().stream().map(Sidecar::operatorAddress))
                .toList();
    }
}
