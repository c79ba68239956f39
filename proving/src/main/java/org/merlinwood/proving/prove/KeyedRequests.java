package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerKeys;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.CallerResponse;
import org.merlinwood.proving.caller.RequestInProgress;
import org.merlinwood.proving.fleet.FleetDocuments;

/**
 * Bookings with one idempotency key each. A proof can send each of them several times and then check the responses
 * against the ledgers of the stand-ins. Not thread-safe: used by one thread.
 */
final class KeyedRequests {

    private final List<Booking> bookings = new ArrayList<>();
    private final ProofContext context;

    KeyedRequests(ProofContext context) {
        this.context = context;
    }

    /** Creates a booking with a key minted by an entry. */
    Booking minted(String marker) {
        return add(
                marker,
                context.client().mintKey(context.caller(0), FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.LEDGER));
    }

    /** Creates a booking with a key of the caller that contains its creation time. */
    Booking timed(String marker) {
        return add(marker, CallerKeys.timed(SystemMillisClock.shared().wallMillis()));
    }

    /** Creates a booking with a key of the caller that contains no time. */
    Booking opaque(String marker) {
        return add(marker, "order-" + Long.toUnsignedString(context.random().nextLong(), 36));
    }

    private Booking add(String marker, String key) {
        String body =
                "{\"hydrant\":\"H-1\",\"order\":\"" + context.random().nextLong() + "\",\"note\":\"" + marker + "\"}";
        Booking booking = new Booking(body, key, new ArrayList<>());
        bookings.add(booking);
        return booking;
    }

    /** Sends a booking through an entry without waiting for the response. */
    void send(Booking booking, int entry) {
        CallerRequest request = CallerRequest.plain(FleetDocuments.INSPECTOR_TOKEN, "POST", "/bookings", booking.body)
                .withKey(booking.key);
        booking.attempts.add(context.client().send(context.caller(entry), request));
    }

    /** Sends every booking through every entry. */
    void sendAllThroughAll() {
        for (Booking booking : bookings) {
            for (int entry = 0; entry < context.fleet().entries().size(); entry++) {
                send(booking, entry);
            }
        }
    }

    /** Waits for all responses. */
    void awaitAll() {
        bookings.forEach(Booking::responses);
    }

    /** Checks that each booking ran at most once and that no response contradicts the ledgers. */
    ProofResult check(String what) {
        List<String> faults = new ArrayList<>();
        int runs = 0;
        int answered = 0;
        for (Booking booking : bookings) {
            int ran = context.plainRuns(booking.body).size();
            runs += ran;
            answered += booking.responses().stream().anyMatch(CallerResponse::isOk) ? 1 : 0;
            faults.addAll(booking.faults(ran));
        }
        String figures = what + ": " + bookings.size() + " keys, " + runs + " runs, " + answered + " answered";
        if (!faults.isEmpty()) {
            return ProofResult.fail(figures + "; " + faults);
        }
        return runs == 0 ? ProofResult.unproved(figures + "; nothing ran") : ProofResult.pass(figures);
    }

    /** Returns how many bookings ran. */
    int ran() {
        return (int) bookings.stream()
                .filter(booking -> !context.plainRuns(booking.body).isEmpty())
                .count();
    }

    /** Returns how many bookings got at least one successful response. */
    int answered() {
        return (int) bookings.stream()
                .filter(booking -> booking.responses().stream().anyMatch(CallerResponse::isOk))
                .count();
    }

    /** Returns the number of bookings. */
    int size() {
        return bookings.size();
    }

    /**
     * A booking and all requests that were sent for it.
     *
     * @param body the request body, different from that of every other booking
     * @param key the idempotency key
     * @param attempts the requests sent so far
     */
    record Booking(String body, String key, List<RequestInProgress> attempts) {

        private static final String NOT_RUN = "NOT_RUN";

        /** Waits for all responses and returns them. */
        List<CallerResponse> responses() {
            return attempts.stream().map(CallerClient::await).toList();
        }

        /** Returns the contradictions between the responses and the number of runs in the ledgers. */
        List<String> faults(int runs) {
            return faults(key, runs, responses());
        }

        /** Returns the contradictions between responses to one key and its number of runs; empty if there are none. */
        static List<String> faults(String key, int runs, List<CallerResponse> responses) {
            List<String> faults = new ArrayList<>();
            if (runs > 1) {
                faults.add(key + " ran " + runs + " times, answers " + codes(responses));
            }
            boolean answered = responses.stream().anyMatch(CallerResponse::isOk);
            if (answered && runs == 0) {
                faults.add(key + " was answered but did not run");
            }
            Set<String> texts = responses.stream()
                    .filter(CallerResponse::isOk)
                    .map(CallerResponse::text)
                    .collect(Collectors.toSet());
            if (texts.size() > 1) {
                faults.add(key + " has several answers " + texts);
            }
            faults.addAll(falseRefusals(key, runs, responses));
            return faults;
        }

        /** Reports responses that claim that no attempt with the key ran although one did. */
        private static List<String> falseRefusals(String key, int runs, List<CallerResponse> responses) {
            return responses.stream()
                    .filter(response -> runs > 0 && response.execution().equals(NOT_RUN))
                    .map(response -> key + " was said not to have run with code " + response.codeText()
                            + ", but ran; answers " + codes(responses))
                    .toList();
        }

        private static List<String> codes(List<CallerResponse> responses) {
            return responses.stream()
                    .map(response ->
                            response.codeText() + (response.execution().isEmpty() ? "" : " " + response.execution()))
                    .toList();
        }
    }
}
