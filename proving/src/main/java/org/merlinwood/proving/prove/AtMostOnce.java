package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedCalls.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Non-idempotent calls run at most once. Stateless. */
final class AtMostOnce {

    private static final int KEYS = 24;
    private static final long START_MILLIS = 1_000;
    private static final int MAXIMUM_SENDS = 6;
    private static final long END_MILLIS = 5_000;
    private static final long IN_FORCE_MILLIS = 2_000;
    private static final String SLOW = "[millis 700]";
    private static final String VERY_SLOW = "[millis 2000]";
    private static final String CRASH = "[fault CRASH_AFTER_RUN]";

    private AtMostOnce() {}

    /** The same key through all entries at once, again and again. */
    static ProofResult repeatedKey(Workbench bench) {
        KeyedCalls calls = new KeyedCalls(bench);
        for (int number = 0; number < KEYS; number++) {
            addOneOfEachKind(calls, number % 2 == 0 ? "" : "[millis 150]");
        }
        calls.sendAllThroughAll();
        calls.sendAllThroughAll();
        calls.awaitAll();
        calls.sendAllThroughAll();
        return calls.judge("repeated through all entries");
    }

    /** An entry dies while its bookings run; they are sent again through the other. */
    static ProofResult entryKilled(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = List.of(calls.minted(SLOW), calls.minted(SLOW), calls.timed(SLOW), calls.timed(SLOW));
        bookings.forEach(booking -> calls.send(booking, 0));
        if (!awaitRunning(bench, calls, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        bench.entry(0).process().kill();
        bookings.forEach(booking -> calls.send(booking, 1));
        calls.awaitAll();
        bookings.forEach(booking -> calls.send(booking, 1));
        return calls.judge("entry killed");
    }

    /** The upstream dies after it ran a booking and before it answers. */
    static ProofResult upstreamKilled(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        for (int round = 0; round < 2; round++) {
            Booking booking = round == 0 ? calls.minted(CRASH) : calls.timed(CRASH);
            calls.send(booking, round);
            calls.awaitAll();
            bench.fleet().repair();
            calls.sendAllThroughAll();
            calls.awaitAll();
            bench.fleet().repair();
        }
        return calls.judge("upstream killed after the run");
    }

    /** A sidecar dies while its bookings run, comes back without memory, and gets them again. */
    static ProofResult sidecarKilled(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = List.of(
                calls.minted(SLOW), calls.minted(SLOW), calls.timed(SLOW), calls.timed(SLOW), calls.timed(SLOW));
        bookings.forEach(booking -> calls.send(booking, 0));
        if (!awaitRunning(bench, calls, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        bench.fleet()
                .sidecars(InstanceRole.PLAIN)
                .forEach(sidecar -> sidecar.process().kill());
        calls.sendAllThroughAll();
        bench.fleet().repair();
        calls.sendAllThroughAll();
        calls.awaitAll();
        calls.sendAllThroughAll();
        return calls.judge("sidecars killed and started again");
    }

    /** The connections to the sidecars go silent while bookings run; both ends still hold them open. */
    static ProofResult connectionSilent(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = List.of(
                calls.minted(VERY_SLOW), calls.timed(VERY_SLOW), calls.minted(VERY_SLOW), calls.timed(VERY_SLOW));
        bookings.forEach(booking -> calls.send(booking, 0));
        if (!awaitRunning(bench, calls, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        ForwardingDirection direction =
                bench.choose(List.of(ForwardingDirection.BOTH, ForwardingDirection.FROM_TARGET));
        bench.fleet().sidecars(InstanceRole.PLAIN).forEach(sidecar -> silence(sidecar, direction));
        calls.sendAllThroughAll();
        calls.awaitAll();
        calls.sendAllThroughAll();
        return calls.judge("connections silent, " + direction);
    }

    /** An inventory change takes away the instance that ran a key, and gives it back. */
    static ProofResult homeMoved(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = new ArrayList<>();
        for (int number = 0; number < KEYS / 2; number++) {
            bookings.add(number % 2 == 0 ? calls.timed("") : calls.timed(SLOW));
        }
        bookings.forEach(booking -> calls.send(booking, 0));
        if (!awaitRunning(bench, calls, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        Sidecar moved = bench.choose(bench.fleet().sidecars(InstanceRole.PLAIN));
        bench.fleet()
                .publish(bench.fleet().instances().stream()
                        .filter(row -> !row.name().equals(moved.instance().name()))
                        .toList());
        calls.sendAllThroughAll();
        Thread.sleep(IN_FORCE_MILLIS);
        calls.sendAllThroughAll();
        calls.awaitAll();
        bench.fleet().publish(bench.fleet().instances());
        Thread.sleep(IN_FORCE_MILLIS);
        calls.sendAllThroughAll();
        return calls.judge(moved.name() + " taken from the inventory and given back");
    }

    /** A second sidecar is started beside an upstream whose sidecar is frozen. */
    static ProofResult secondSidecar(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        Booking booking = calls.timed(VERY_SLOW);
        calls.send(booking, 0);
        if (!awaitRunning(bench, calls, List.of(booking))) {
            return ProofResult.unproved("the booking did not start");
        }
        Sidecar frozen = bench.sidecarsRunning(booking.body()).getFirst();
        frozen.process().freeze();
        FleetProcess second = bench.fleet().startBeside(frozen);
        boolean ended = second.awaitEnd(END_MILLIS);
        frozen.process().thaw();
        calls.sendAllThroughAll();
        calls.awaitAll();
        ProofResult judged = calls.judge("second sidecar beside " + frozen.name());
        second.kill();
        return ended ? judged : ProofResult.fail("the second sidecar did not end; " + judged.detail());
    }

    private static void silence(Sidecar sidecar, ForwardingDirection direction) {
        sidecar.peerForwarder().orElseThrow().mode(ForwardingMode.SILENT_EXISTING, direction, 0);
    }

    private static void addOneOfEachKind(KeyedCalls calls, String marker) {
        switch (calls.size() % 3) {
            case 0 -> calls.minted(marker);
            case 1 -> calls.timed(marker);
            default -> calls.opaque(marker);
        }
    }

    /** Sends bookings again, as callers do that are refused, until all run. */
    private static boolean awaitRunning(Workbench bench, KeyedCalls calls, List<Booking> bookings)
            throws InterruptedException {
        for (int send = 0; send < MAXIMUM_SENDS; send++) {
            if (Workbench.await(START_MILLIS, () -> waiting(bench, bookings).isEmpty())) {
                return true;
            }
            waiting(bench, bookings).forEach(booking -> calls.send(booking, 0));
        }
        return false;
    }

    private static List<Booking> waiting(Workbench bench, List<Booking> bookings) {
        return bookings.stream()
                .filter(booking -> bench.plainRuns(booking.body()).isEmpty())
                .toList();
    }
}
