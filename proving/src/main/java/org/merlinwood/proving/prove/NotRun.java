package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedRequests.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** Proves that a request reported as not run did not run and does not run later either. Stateless. */
final class NotRun {

    private static final int BOOKINGS_PER_ROUND = 8;
    private static final long DELAY_MILLIS = 1_500;
    private static final long LATE_ARRIVAL_MILLIS = 4_000;
    private static final String SLOW = "[millis 300]";

    private NotRun() {}

    /**
     * Sends bookings while sidecars are frozen, disconnected, delayed and killed, and compares refusals with the
     * ledgers.
     */
    static ProofResult refusalsUnderFailures(ProofContext context) throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings = new ArrayList<>();
        for (Provocation provocation : Provocation.values()) {
            round(context, requests, bookings, provocation);
        }
        long refused = bookings.stream()
                .flatMap(booking -> booking.responses().stream())
                .filter(response -> response.execution().equals("NOT_RUN"))
                .count();
        if (refused == 0) {
            return ProofResult.unproved("no booking was refused as not run");
        }
        return requests.check(refused + " refused as not run");
    }

    private static void round(
            ProofContext context, KeyedRequests requests, List<Booking> bookings, Provocation provocation)
            throws InterruptedException {
        Sidecar victim = context.choose(context.fleet().sidecars(InstanceRole.PLAIN));
        List<Booking> ofRound = new ArrayList<>();
        for (int number = 0; number < BOOKINGS_PER_ROUND; number++) {
            ofRound.add(number % 2 == 0 ? requests.minted(SLOW) : requests.timed(SLOW));
        }
        provoke(victim, provocation);
        ofRound.forEach(booking -> requests.send(booking, context.random().nextInt(2)));
        List<CallerResponse> responses = ofRound.stream()
                .flatMap(booking -> booking.responses().stream())
                .toList();
        context.fleet().repair();
        if (!responses.isEmpty()) {
            Thread.sleep(LATE_ARRIVAL_MILLIS);
        }
        bookings.addAll(ofRound);
    }

    private static void provoke(Sidecar victim, Provocation provocation) {
        switch (provocation) {
            case FROZEN -> victim.process().freeze();
            case KILLED -> victim.process().kill();
            case CUT -> victim.peerForwarder().orElseThrow().mode(ForwardingMode.DROP, ForwardingDirection.BOTH, 0);
            case DELAYED ->
                victim.peerForwarder()
                        .orElseThrow()
                        .mode(ForwardingMode.DELAY, ForwardingDirection.TO_TARGET, DELAY_MILLIS);
            case UPSTREAM_KILLED -> victim.upstream().process().kill();
        }
    }

    /** The failures injected at one sidecar. */
    private enum Provocation {
        FROZEN,
        KILLED,
        CUT,
        DELAYED,
        UPSTREAM_KILLED
    }
}
