package org.merlinwood.proving.prove;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.rng.UniformRandomProvider;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.fleet.Entry;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.standin.engine.EngineRun;
import org.merlinwood.standin.plain.PlainRun;

/**
 * The fleet, the callers and the random choices of one proof. Used by one thread.
 *
 * @param fleet the fleet, whole at the start of each proof
 * @param client sends requests
 * @param random choices that follow from the seed
 */
record Workbench(Fleet fleet, CallerClient client, UniformRandomProvider random) {

    private static final long POLL_MILLIS = 20;

    /** Returns where an entry serves callers; numbers beyond the last start again. */
    InetSocketAddress caller(int number) {
        return entry(number).callerAddress();
    }

    /** Returns an entry; numbers beyond the last start again. */
    Entry entry(int number) {
        List<Entry> entries = fleet.entries();
        return entries.get(number % entries.size());
    }

    /** Chooses one of a list. */
    <T> T choose(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /** Returns all runs of engines with one of these prompts. */
    List<EngineRun> engineRuns(Set<String> promptDigests) {
        return Stream.of(InstanceRole.PREFILL, InstanceRole.DECODE)
                .flatMap(role -> fleet.sidecars(role).stream())
                .flatMap(sidecar -> fleet.probe().engineLedger(sidecar.upstream()).runs().stream())
                .filter(run -> promptDigests.contains(run.promptDigest()))
                .toList();
    }

    /** Returns how many runs of engines with one of these prompts hold memory. */
    long stillHeld(Set<String> promptDigests) {
        return engineRuns(promptDigests).stream()
                .filter(run -> run.endedAtMillis() == 0)
                .count();
    }

    /** Returns all runs of plain calls with this body. */
    List<PlainRun> plainRuns(String body) {
        String digest = DigestUtils.sha256Hex(body);
        return fleet.sidecars(InstanceRole.PLAIN).stream()
                .flatMap(sidecar -> fleet.probe().plainLedger(sidecar.upstream()).runs().stream())
                .filter(run -> run.bodyDigest().equals(digest))
                .toList();
    }

    /** Returns the plain sidecars whose service runs a call with this body. */
    List<Sidecar> sidecarsRunning(String body) {
        String digest = DigestUtils.sha256Hex(body);
        return fleet.sidecars(InstanceRole.PLAIN).stream()
                .filter(sidecar -> fleet.probe().plainLedger(sidecar.upstream()).runs().stream()
                        .anyMatch(run -> run.bodyDigest().equals(digest)))
                .collect(Collectors.toList());
    }

    /** Waits until a condition holds. */
    static boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
        long deadlineMillis = SystemMillisClock.shared().monotonicMillis() + millis;
        while (!condition.getAsBoolean()) {
            if (SystemMillisClock.shared().monotonicMillis() > deadlineMillis) {
                return false;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return true;
    }
}
