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
 * The fleet, the client and the random choices available to a proof. Not thread-safe: used by one thread.
 *
 * @param fleet the fleet; all its processes run at the start of each proof
 * @param client sends requests as callers do
 * @param random source of random choices, determined by the seed
 */
record ProofContext(Fleet fleet, CallerClient client, UniformRandomProvider random) {

    private static final long POLL_MILLIS = 20;

    /** Returns the caller address of an entry; the number is taken modulo the number of entries. */
    InetSocketAddress caller(int number) {
        return entry(number).callerAddress();
    }

    /** Returns an entry; the number is taken modulo the number of entries. */
    Entry entry(int number) {
        List<Entry> entries = fleet.entries();
        return entries.get(number % entries.size());
    }

    /** Returns a randomly chosen element of the list. */
    <T> T choose(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    /** Returns all engine runs with one of these prompts. */
    List<EngineRun> engineRuns(Set<String> promptDigests) {
        return Stream.of(InstanceRole.PREFILL, InstanceRole.DECODE)
                .flatMap(role -> fleet.sidecars(role).stream())
                .flatMap(sidecar -> fleet.probe().engineLedger(sidecar.upstream()).runs().stream())
                .filter(run -> promptDigests.contains(run.promptDigest()))
                .toList();
    }

    /** Returns how many engine runs with one of these prompts still occupy memory. */
    long stillHeld(Set<String> promptDigests) {
        return engineRuns(promptDigests).stream()
                .filter(run -> run.endedAtMillis() == 0)
                .count();
    }

    /** Returns all runs of plain requests with this body. */
    List<PlainRun> plainRuns(String body) {
        String digest = DigestUtils.sha256Hex(body);
        return fleet.sidecars(InstanceRole.PLAIN).stream()
                .flatMap(sidecar -> fleet.probe().plainLedger(sidecar.upstream()).runs().stream())
                .filter(run -> run.bodyDigest().equals(digest))
                .toList();
    }

    /** Returns the plain sidecars whose upstream has run or is running a request with this body. */
    List<Sidecar> sidecarsRunning(String body) {
        String digest = DigestUtils.sha256Hex(body);
        return fleet.sidecars(InstanceRole.PLAIN).stream()
                .filter(sidecar -> fleet.probe().plainLedger(sidecar.upstream()).runs().stream()
                        .anyMatch(run -> run.bodyDigest().equals(digest)))
                .collect(Collectors.toList());
    }

    /** Polls until the condition holds and returns true; returns false if it does not hold in time. */
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
