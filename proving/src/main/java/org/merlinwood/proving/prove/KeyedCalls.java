package org.merlinwood.proving.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.proving.caller.CallerAnswer;
import org.merlinwood.proving.caller.CallerClient;
import org.merlinwood.proving.caller.CallerKeys;
import org.merlinwood.proving.caller.CallerRequest;
import org.merlinwood.proving.caller.RequestUnderway;
import org.merlinwood.proving.fleet.FleetDocuments;

/** Bookings with one key each, sent as often as a proof likes, and judged by the ledgers. Used by one thread. */
final class KeyedCalls {

    private final List<Booking> bookings = new ArrayList<>();
    private final Workbench bench;

    KeyedCalls(Workbench bench) {
        this.bench = bench;
    }

    // ------------------------------------------------------------------ sending

    /** Makes a booking with a key that an entry mints. */
    Booking minted(String marker) {
        return add(
                marker, bench.client().mintKey(bench.caller(0), FleetDocuments.INSPECTOR_TOKEN, FleetDocuments.LEDGER));
    }

    /** Makes a booking with a caller's own key that carries its time. */
    Booking timed(String marker) {
        return add(marker, CallerKeys.timed(SystemMillisClock.shared().wallMillis()));
    }

    /** Makes a booking with a caller's own key that carries no time. */
    Booking opaque(String marker) {
        return add(marker, "order-" + Long.toUnsignedString(bench.random().nextLong(), 36));
    }

    private Booking add(String marker, String key) {
        String body =
                "{\"hydrant\":\"H-1\",\"order\":\"" + bench.random().nextLong() + "\",\"note\":\"" + marker + "\"}";
        Booking booking = new Booking(body, key, new ArrayList<>());
        bookings.add(booking);
        return booking;
    }

    /** Sends a booking through an entry. */
    void send(Booking booking, int entry) {
        CallerRequest request = CallerRequest.plain(FleetDocuments.INSPECTOR_TOKEN, "POST", "/bookings", booking.body)
                .withKey(booking.key);
        booking.attempts.add(bench.client().send(bench.caller(entry), request));
    }

    /** Sends every booking through every entry. */
    void sendAllThroughAll() {
        for (Booking booking : bookings) {
            for (int entry = 0; entry < bench.fleet().entries().size(); entry++) {
                send(booking, entry);
            }
        }
    }

    /** Waits for all answers. */
    void awaitAll() {
        bookings.forEach(Booking::answers);
    }

    // ------------------------------------------------------------------ judgement

    /** Judges all bookings: at most one run each, and no answer that the ledgers contradict. */
    ProofResult judge(String what) {
        List<String> faults = new ArrayList<>();
        int runs = 0;
        int answered = 0;
        for (Booking booking : bookings) {
            int ran = bench.plainRuns(booking.body).size();
            runs += ran;
            answered += booking.answers().stream().anyMatch(CallerAnswer::isOk) ? 1 : 0;
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
                .filter(booking -> !bench.plainRuns(booking.body).isEmpty())
                .count();
    }

    /** Returns how many bookings were answered at least once. */
    int answered() {
        return (int) bookings.stream()
                .filter(booking -> booking.answers().stream().anyMatch(CallerAnswer::isOk))
                .count();
    }

    /** Returns the number of bookings. */
    int size() {
        return bookings.size();
    }

    /**
     * One booking.
     *
     * @param body its body, unlike that of any other
     * @param key its key
     * @param attempts its requests
     */
    record Booking(String body, String key, List<RequestUnderway> attempts) {

        private static final String NOT_RUN = "NOT_RUN";

        /** Waits for all answers and returns them. */
        List<CallerAnswer> answers() {
            return attempts.stream().map(CallerClient::await).toList();
        }

        /** Says what the ledgers contradict. */
        List<String> faults(int runs) {
            return faults(key, runs, answers());
        }

        /** Says what the number of runs contradicts. */
        static List<String> faults(String key, int runs, List<CallerAnswer> answers) {
            List<String> faults = new ArrayList<>();
            if (runs > 1) {
                faults.add(key + " ran " + runs + " times, answers " + codes(answers));
            }
            boolean answered = answers.stream().anyMatch(CallerAnswer::isOk);
            if (answered && runs == 0) {
                faults.add(key + " was answered but did not run");
            }
            Set<String> texts = answers.stream()
                    .filter(CallerAnswer::isOk)
                    .map(CallerAnswer::text)
                    .collect(Collectors.toSet());
            if (texts.size() > 1) {
                faults.add(key + " has several answers " + texts);
            }
            faults.addAll(falseRefusals(key, runs, answers));
            return faults;
        }

        /** Refusals that say of all attempts with the key that none ran, though one did. */
        private static List<String> falseRefusals(String key, int runs, List<CallerAnswer> answers) {
            return answers.stream()
                    .filter(answer -> runs > 0 && answer.execution().equals(NOT_RUN))
                    .map(answer -> key + " was said not to have run with code " + answer.codeText()
                            + ", but ran; answers " + codes(answers))
                    .toList();
        }

        private static List<String> codes(List<CallerAnswer> answers) {
            return answers.stream()
                    .map(answer -> answer.codeText() + (answer.execution().isEmpty() ? "" : " " + answer.execution()))
                    .toList();
        }
    }
}
