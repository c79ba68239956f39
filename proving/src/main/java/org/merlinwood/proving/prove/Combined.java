package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedCalls.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/**
 * Two failures at a time, chosen by the seed, under a mixed load. Not every request can be answered then, but no answer
 * may be wrong, nothing may run twice, and no memory may stay held. Stateless.
 */
final class Combined {

    private static final int ROUNDS = 4;
    private static final int STREAMS = 14;
    private static final int BOOKINGS = 8;
    private static final int TOKENS = 120;
    private static final long FREEZE_MILLIS = 2_500;
    private static final long NONE_HELD_MILLIS = 5_000;
    private static final String SLOW = "[millis 400]";

    private Combined() {}

    /** Carries out several rounds of two failures each. */
    static ProofResult twoAtATime(Workbench bench) throws InterruptedException {
        List<String> faults = new ArrayList<>();
        List<String> rounds = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Failing first = bench.choose(List.of(Failing.values()));
            Failing second = bench.choose(List.of(Failing.values()));
            rounds.add(first + "+" + second);
            for (String fault : carryOut(bench, first, second)) {
                faults.add("round " + rounds.getLast() + ": " + fault);
            }
            bench.fleet().repair();
        }
        return ProofResult.of(faults.isEmpty(), rounds + " " + faults);
    }

    // ------------------------------------------------------------------ internals

    private static List<String> carryOut(Workbench bench, Failing first, Failing second) throws InterruptedException {
        KeyedCalls calls = new KeyedCalls(bench);
        List<Booking> bookings = new ArrayList<>();
        for (int number = 0; number < BOOKINGS; number++) {
            bookings.add(number % 2 == 0 ? calls.minted(SLOW) : calls.timed(SLOW));
        }
        StreamSet streams = new StreamSet(bench).send(STREAMS, TOKENS);
        bookings.forEach(booking -> calls.send(booking, bench.random().nextInt(2)));
        if (!streams.awaitFirstTokens()) {
            return List.of("the streams did not start");
        }
        provoke(bench, first);
        provoke(bench, second);
        bookings.forEach(booking -> calls.send(booking, bench.random().nextInt(2)));
        Thread.sleep(FREEZE_MILLIS);
        bench.fleet().thawAll();
        List<CallerAnswer> answers = streams.answers();
        calls.awaitAll();
        return faults(bench, calls, streams, answers);
    }

    private static List<String> faults(Workbench bench, KeyedCalls calls, StreamSet streams, List<CallerAnswer> answers)
            throws InterruptedException {
        List<String> faults = new ArrayList<>(streams.wrongAnswers());
        ProofResult keyed = calls.judge("bookings");
        if (keyed.verdict() == Verdict.FAIL) {
            faults.add(keyed.detail());
        }
        long doubled =
                answers.stream().filter(answer -> answer.terminalEvents() > 1).count();
        if (doubled > 0) {
            faults.add(doubled + " answers with two ends");
        }
        bench.fleet().repair();
        if (!Workbench.await(NONE_HELD_MILLIS, () -> bench.stillHeld(streams.promptDigests()) == 0)) {
            faults.add(bench.stillHeld(streams.promptDigests()) + " runs still hold memory");
        }
        return faults;
    }

    private static void provoke(Workbench bench, Failing failing) {
        Sidecar decode = bench.choose(bench.fleet().sidecars(InstanceRole.DECODE));
        Sidecar plain = bench.choose(bench.fleet().sidecars(InstanceRole.PLAIN));
        switch (failing) {
            case ENTRY_KILLED ->
                bench.entry(bench.random().nextInt(2)).process().kill();
            case ENTRY_FROZEN ->
                bench.entry(bench.random().nextInt(2)).process().freeze();
            case DECODE_ENGINE_KILLED -> decode.upstream().process().kill();
            case DECODE_SIDECAR_KILLED -> decode.process().kill();
            case DECODE_SIDECAR_FROZEN -> decode.process().freeze();
            case DECODE_PATH_CUT -> switchTo(decode, ForwardingMode.DROP);
            case DECODE_PATH_SILENT -> switchTo(decode, ForwardingMode.SILENT_EXISTING);
            case PLAIN_SIDECAR_KILLED -> plain.process().kill();
            case PLAIN_SIDECAR_FROZEN -> plain.process().freeze();
            case PLAIN_PATH_SILENT -> switchTo(plain, ForwardingMode.SILENT);
            case CONFIGURATION_DOWN ->
                bench.fleet().probe().command(bench.fleet().platform().administration(), "/down");
            case INVENTORY_CHANGED -> bench.fleet().publish(bench.fleet().instances());
        }
    }

    private static void switchTo(Sidecar sidecar, ForwardingMode mode) {
        sidecar.peerForwarder().orElseThrow().mode(mode, ForwardingDirection.BOTH, 0);
    }

    /** What fails. */
    private enum Failing {
        ENTRY_KILLED,
        ENTRY_FROZEN,
        DECODE_ENGINE_KILLED,
        DECODE_SIDECAR_KILLED,
        DECODE_SIDECAR_FROZEN,
        DECODE_PATH_CUT,
        DECODE_PATH_SILENT,
        PLAIN_SIDECAR_KILLED,
        PLAIN_SIDECAR_FROZEN,
        PLAIN_PATH_SILENT,
        CONFIGURATION_DOWN,
        INVENTORY_CHANGED
    }
}
