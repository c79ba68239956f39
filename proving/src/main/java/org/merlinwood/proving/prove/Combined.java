package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.fleet.Sidecar;
import org.merlinwood.proving.prove.KeyedRequests.Booking;
import org.merlinwood.standin.network.ForwardingDirection;
import org.merlinwood.standin.network.ForwardingMode;

/**
 * Injects two failures at a time, chosen by the seed, under a mixed load. Requests may fail under two failures, but no
 * response may be wrong, no booking may run twice, and all engine memory must be released. Stateless.
 */
final class Combined {

    private static final int ROUNDS = 4;
    private static final int STREAMS = 14;
    private static final int BOOKINGS = 8;
    private static final int TOKENS = 120;
    private static final long FREEZE_MILLIS = 2_500;
    private static final long RELEASE_MILLIS = 5_000;
    private static final String SLOW = "[millis 400]";

    private Combined() {}

    /** Runs several rounds with two failures each. */
    static ProofResult twoAtATime(ProofContext context) throws InterruptedException {
        List<String> faults = new ArrayList<>();
        List<String> rounds = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            Failing first = context.choose(List.of(Failing.values()));
            Failing second = context.choose(List.of(Failing.values()));
            rounds.add(first + "+" + second);
            for (String fault : execute(context, first, second)) {
                faults.add("round " + rounds.getLast() + ": " + fault);
            }
            context.fleet().repair();
        }
        return ProofResult.of(faults.isEmpty(), rounds + " " + faults);
    }

    private static List<String> execute(ProofContext context, Failing first, Failing second)
            throws InterruptedException {
        KeyedRequests requests = new KeyedRequests(context);
        List<Booking> bookings = new ArrayList<>();
        for (int number = 0; number < BOOKINGS; number++) {
            bookings.add(number % 2 == 0 ? requests.minted(SLOW) : requests.timed(SLOW));
        }
        StreamSet streams = new StreamSet(context).send(STREAMS, TOKENS);
        bookings.forEach(booking -> requests.send(booking, context.random().nextInt(2)));
        if (!streams.awaitFirstTokens()) {
            return List.of("the streams did not start");
        }
        provoke(context, first);
        provoke(context, second);
        bookings.forEach(booking -> requests.send(booking, context.random().nextInt(2)));
        Thread.sleep(FREEZE_MILLIS);
        context.fleet().thawAll();
        List<CallerResponse> responses = streams.responses();
        requests.awaitAll();
        return faults(context, requests, streams, responses);
    }

    private static List<String> faults(
            ProofContext context, KeyedRequests requests, StreamSet streams, List<CallerResponse> responses)
            throws InterruptedException {
        List<String> faults = new ArrayList<>(streams.wrongResponses());
        ProofResult keyed = requests.check("bookings");
        if (keyed.verdict() == Verdict.FAIL) {
            faults.add(keyed.detail());
        }
        long duplicated = responses.stream()
                .filter(response -> response.terminalEvents() > 1)
                .count();
        if (duplicated > 0) {
            faults.add(duplicated + " answers with two ends");
        }
        context.fleet().repair();
        if (!ProofContext.await(RELEASE_MILLIS, () -> context.stillHeld(streams.promptDigests()) == 0)) {
            faults.add(context.stillHeld(streams.promptDigests()) + " runs still hold memory");
        }
        return faults;
    }

    private static void provoke(ProofContext context, Failing failing) {
        Sidecar decode = context.choose(context.fleet().sidecars(InstanceRole.DECODE));
        Sidecar plain = context.choose(context.fleet().sidecars(InstanceRole.PLAIN));
        switch (failing) {
            case ENTRY_KILLED ->
                context.entry(context.random().nextInt(2)).process().kill();
            case ENTRY_FROZEN ->
                context.entry(context.random().nextInt(2)).process().freeze();
            case DECODE_ENGINE_KILLED -> decode.upstream().process().kill();
            case DECODE_SIDECAR_KILLED -> decode.process().kill();
            case DECODE_SIDECAR_FROZEN -> decode.process().freeze();
            case DECODE_PATH_CUT -> switchTo(decode, ForwardingMode.DROP);
            case DECODE_PATH_SILENT -> switchTo(decode, ForwardingMode.SILENT_EXISTING);
            case PLAIN_SIDECAR_KILLED -> plain.process().kill();
            case PLAIN_SIDECAR_FROZEN -> plain.process().freeze();
            case PLAIN_PATH_SILENT -> switchTo(plain, ForwardingMode.SILENT);
            case CONFIGURATION_DOWN ->
                context.fleet().probe().command(context.fleet().platform().administration(), "/down");
            case INVENTORY_CHANGED -> context.fleet().publish(context.fleet().instances());
        }
    }

    private static void switchTo(Sidecar sidecar, ForwardingMode mode) {
        sidecar.peerForwarder().orElseThrow().mode(mode, ForwardingDirection.BOTH, 0);
    }

    /** The failures that a round can inject. */
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
