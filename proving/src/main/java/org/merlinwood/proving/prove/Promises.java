package org.merlinwood.proving.prove;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.proving.fleet.FleetPlan;
import org.merlinwood.proving.fleet.FleetPlan.Forwarding;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;
import org.merlinwood.proving.soak.FaultPair;

/** Lists all promises and their proofs. Stateless. */
final class Promises {

    private static final int ENGINE_PIECES = 60;
    private static final List<String> SLOW_ENGINES = List.of("--step-millis", "20", "--stream-millis", "0.2");

    private Promises() {}

    /** Returns the proofs, grouped by the fleet that they share. */
    static List<ProofGroup> groups() {
        return List.of(plain(), streams());
    }

    /** Returns the proofs of what instances and the store state on the users' platform, by name, in sequence. */
    static Map<String, FaultPair> onThePlatform() {
        Map<String, FaultPair> proofs = new LinkedHashMap<>();
        proofs.put("leaving-instance-entry-cut-off", FaultPair.LEAVING_INSTANCE_ENTRY_CUT_OFF);
        proofs.put("leaving-instance-store-restored", FaultPair.LEAVING_INSTANCE_STORE_RESTORED);
        proofs.put("named-time-entry-restarted", FaultPair.NAMED_TIME_ENTRY_RESTARTED);
        proofs.put("named-time-entry-cut-off", FaultPair.NAMED_TIME_ENTRY_CUT_OFF);
        proofs.put("store-restored-twice", FaultPair.STORE_RESTORED_TWICE);
        return proofs;
    }

    private static ProofGroup plain() {
        FleetPlan plan = FleetPlan.builder()
                .entries(2)
                .engines(1, 1)
                .plainServices(List.of(new PlainPool(FleetDocuments.LEDGER, 2)))
                .forwarding(Forwarding.ON, Forwarding.OFF)
                .build();
        return new ProofGroup(
                plan,
                List.of(
                        new Proof("at-most-once-repeated-key", AtMostOnce::repeatedKey),
                        new Proof("at-most-once-entry-killed", AtMostOnce::entryKilled),
                        new Proof("at-most-once-upstream-killed", AtMostOnce::upstreamKilled),
                        new Proof("at-most-once-sidecar-killed", AtMostOnce::sidecarKilled),
                        new Proof("at-most-once-connection-silent", AtMostOnce::connectionSilent),
                        new Proof("at-most-once-home-moved", AtMostOnce::homeMoved),
                        new Proof("at-most-once-second-sidecar", AtMostOnce::secondSidecar),
                        new Proof("not-run-is-true", NotRun::refusalsUnderFailures)));
    }

    private static ProofGroup streams() {
        FleetPlan plan = FleetPlan.builder()
                .entries(2)
                .engines(2, 2)
                .plainServices(List.of(new PlainPool(FleetDocuments.LEDGER, 1)))
                .forwarding(Forwarding.ON, Forwarding.OFF)
                .pieces(ENGINE_PIECES)
                .engineOptions(SLOW_ENGINES)
                .build();
        return new ProofGroup(
                plan,
                List.of(
                        new Proof("held-memory-caller-gone", HeldMemory::callerGone),
                        new Proof("held-memory-entry-killed", HeldMemory::entryKilled),
                        new Proof("held-memory-connection-silent", HeldMemory::connectionSilent),
                        new Proof("held-memory-sidecar-killed", HeldMemory::sidecarKilled),
                        new Proof("whole-answer-concurrent", WholeResponse::concurrent),
                        new Proof("whole-answer-upstream-killed", WholeResponse::upstreamKilled),
                        new Proof("whole-answer-connection-cut", WholeResponse::connectionCut),
                        new Proof("whole-answer-connection-silent", WholeResponse::connectionSilent),
                        new Proof("answered-once", WholeResponse::answeredOnce),
                        new Proof("leaving-no-new-work", GracefulShutdown::drainedByInventory),
                        new Proof("shutdown-cuts-nothing-sidecar", GracefulShutdown::sidecarTerminated),
                        new Proof("shutdown-cuts-nothing-entry", GracefulShutdown::entryTerminated),
                        new Proof("inventory-in-force", InventoryInForce::everywhere),
                        new Proof("inventory-never-reverts", InventoryInForce::neverReverts),
                        new Proof("crashing-request-at-prefill", CrashingRequest::atPrefill),
                        new Proof("crashing-request-at-decode", CrashingRequest::atDecode),
                        new Proof("crashing-prompt-portion", CrashingPromptPortion::atDecode),
                        new Proof("all-under-two-failures", Combined::twoAtATime)));
    }
}
