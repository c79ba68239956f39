package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.fleet.FleetProcess;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedRequests.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Proves that a non-idempotent request runs at most once. Stateless. */
final class AtMostOnce {

    private static final int KEYS = 24;
    private static final long START_MILLIS = 1_000;
    private static final int MAXIMUM_ATTEMPTS = 6;
    private static final long END_MILLIS = 5_000;
    private static final long ACTIVATION_MILLIS = 2_000;
    private static final String SLOW = "[millis 700]";
    private static final String VERY_SLOW = "[millis 2000]";
    private static final String CRASH = "[fault CRASH_AFTER_RUN]";

    private AtMostOnce() {}

    /** Sends each key through all entries concurrently, several times. */
    static ProofResult repeatedKey(ProofContext context) {
        KeyedRequests requests = new KeyedRequests(context);
        for (int number = 0; number < KEYS; number++) {
            addNextKind(requests, number % 2 == 0 ? "" : "[millis 150]");
        }
        requests.sendAllThroughAll();
        requests.sendAllThroughAll();
        requests.awaitAll();
        requests.sendAllThroughAll();
        return requests.check("repeated through all entries");
    }

    /** Kills an entry while its bookings run, then retries them through the other entry. */
    static ProofResult entryKilled(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings =
                List.of(requests.minted(SLOW), requests.minted(SLOW), requests.timed(SLOW), requests.timed(SLOW));
        bookings.forEach(booking -> requests.send(booking, 0));
        if (!awaitRunning(context, requests, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        context.entry(0).process().kill();
        bookings.forEach(booking -> requests.send(booking, 1));
        requests.awaitAll();
        bookings.forEach(booking -> requests.send(booking, 1));
        return requests.check("entry killed");
    }

    /** Kills the upstream after it has run a booking and before it responds. */
    static ProofResult upstreamKilled(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        for (int round = 0; round < 2; round++) {
            Booking booking = round == 0 ? requests.minted(CRASH) : requests.timed(CRASH);
            requests.send(booking, round);
            requests.awaitAll();
            context.fleet().repair();
            requests.sendAllThroughAll();
            requests.awaitAll();
            context.fleet().repair();
        }
        return requests.check("upstream killed after the run");
    }

    /** Kills the sidecars while bookings run, restarts them with empty state and retries the bookings. */
    static ProofResult sidecarKilled(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings = List.of(
                requests.minted(SLOW),
                requests.minted(SLOW),
                requests.timed(SLOW),
                requests.timed(SLOW),
                requests.timed(SLOW));
        bookings.forEach(booking -> requests.send(booking, 0));
        if (!awaitRunning(context, requests, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        context.fleet()
                .sidecars(InstanceRole.PLAIN)
                .forEach(sidecar -> sidecar.process().kill());
        requests.sendAllThroughAll();
        context.fleet().repair();
        requests.sendAllThroughAll();
        requests.awaitAll();
        requests.sendAllThroughAll();
        return requests.check("sidecars killed and started again");
    }

    /** Silences the connections to the sidecars while bookings run; both ends keep the connections open. */
    static ProofResult connectionSilent(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings = List.of(
                requests.minted(VERY_SLOW),
                requests.timed(VERY_SLOW),
                requests.minted(VERY_SLOW),
                requests.timed(VERY_SLOW));
        bookings.forEach(booking -> requests.send(booking, 0));
        if (!awaitRunning(context, requests, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        ForwardingDirection direction =
                context.choose(List.of(ForwardingDirection.BOTH, ForwardingDirection.FROM_TARGET));
        context.fleet().sidecars(InstanceRole.PLAIN).forEach(sidecar -> silence(sidecar, direction));
        requests.sendAllThroughAll();
        requests.awaitAll();
        requests.sendAllThroughAll();
        return requests.check("connections silent, " + direction);
    }

    /** Removes an instance that ran keys from the inventory, then adds it again. */
    static ProofResult homeMoved(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings = new ArrayList<>();
        for (int number = 0; number < KEYS / 2; number++) {
            bookings.add(number % 2 == 0 ? requests.timed("") : requests.timed(SLOW));
        }
        bookings.forEach(booking -> requests.send(booking, 0));
        if (!awaitRunning(context, requests, bookings)) {
            return ProofResult.unproved("the bookings did not start");
        }
        Sidecar moved = context.choose(context.fleet().sidecars(InstanceRole.PLAIN));
        context.fleet()
                .publish(context.fleet().instances().stream()
                        .filter(row -> !row.name().equals(moved.instance().name()))
                        .toList());
        requests.sendAllThroughAll();
        Thread.sleep(ACTIVATION_MILLIS);
        requests.sendAllThroughAll();
        requests.awaitAll();
        context.fleet().publish(context.fleet().instances());
        Thread.sleep(ACTIVATION_MILLIS);
        requests.sendAllThroughAll();
        return requests.check(moved.name() + " taken from the inventory and given back");
    }

    /** Starts a second sidecar for an upstream whose own sidecar is frozen. */
    static ProofResult secondSidecar(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        Booking booking = requests.timed(VERY_SLOW);
        requests.send(booking, 0);
        if (!awaitRunning(context, requests, List.of(booking))) {
            return ProofResult.unproved("the booking did not start");
        }
        Sidecar frozen = context.sidecarsRunning(booking.body()).getFirst();
        frozen.process().freeze();
        FleetProcess second = context.fleet().startBeside(frozen);
        boolean ended = second.awaitEnd(END_MILLIS);
        frozen.process().thaw();
        requests.sendAllThroughAll();
        requests.awaitAll();
        ProofResult result = requests.check("second sidecar beside " + frozen.name());
        second.kill();
        return ended ? result : ProofResult.fail("the second sidecar did not end; " + result.detail());
    }

    private static void silence(Sidecar sidecar, ForwardingDirection direction) {
        sidecar.peerForwarder().orElseThrow().mode(ForwardingMode.SILENT_EXISTING, direction, 0);
    }

    private static void addNextKind(KeyedRequests requests, String marker) {
        switch (requests.size() % 3) {
            case 0 -> requests.minted(marker);
            case 1 -> requests.timed(marker);
            default -> requests.opaque(marker);
        }
    }

    /** Retries refused bookings, as callers do, until all of them run. Returns false if some never start. */
    private static boolean awaitRunning(ProofContext context, KeyedRequests requests, List<Booking> bookings)
            throws InterruptedException {
        for (int send = 0; send < MAXIMUM_ATTEMPTS; send++) {
            if (ProofContext.await(
                    START_MILLIS, () -> waiting(context, bookings).isEmpty())) {
                return true;
            }
            waiting(context, bookings).forEach(booking -> requests.send(booking, 0));
        }
        return false;
    }

    private static List<Booking> waiting(ProofContext context, List<Booking> bookings) {
        return bookings.stream()
                .filter(booking -> context.plainRuns(booking.body()).isEmpty())
                .toList();
    }
}
