package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedCalls.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/** What is said not to have run did not run, also later. Stateless. */
final class NotRun {

    private static final int BOOKINGS_PER_ROUND = 8;
    private static final long DELAY_MILLIS = 1_500;
    private static final long LATE_ARRIVAL_MILLIS = 4_000;
    private static final String SLOW = "[millis 300]";

    private NotRun() {}

    /** Sends bookings while sidecars are frozen, cut, delayed and killed, and compares refusals with the ledgers. */
    static ProofResult refusalsUnderFailures(Workbench bench) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = new ArrayList<>();
        for (Provocation provocation : Provocation.values()) {
            round(bench, calls, bookings, provocation);
        }
        long refused = bookings.stream()
                .flatMap(booking -> booking.answers().stream())
                .filter(answer -> answer.execution().equals("NOT_RUN"))
                .count();
        if (refused == 0) {
            return ProofResult.unproved("no booking was refused as not run");
        }
        return calls.judge(refused + " refused as not run");
    }

    private static void round(Workbench bench, KeyedCalls calls, List<Booking> bookings, Provocation provocation)
            throws InterruptedException {
        Sidecar victim = bench.choose(bench.fleet().sidecars(InstanceRole.PLAIN));
        List<Booking> ofRound = new ArrayList<>();
        for (int number = 0; number < BOOKINGS_PER_ROUND; number++) {
            ofRound.add(number % 2 == 0 ? calls.minted(SLOW) : calls.timed(SLOW));
        }
        provoke(victim, provocation);
        ofRound.forEach(booking -> calls.send(booking, bench.random().nextInt(2)));
        List<CallerAnswer> answers =
                ofRound.stream().flatMap(booking -> booking.answers().stream()).toList();
        bench.fleet().repair();
        if (!answers.isEmpty()) {
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

    /** What happens to one sidecar. */
    private enum Provocation {
        FROZEN,
        KILLED,
        CUT,
        DELAYED,
        UPSTREAM_KILLED
    }
}
