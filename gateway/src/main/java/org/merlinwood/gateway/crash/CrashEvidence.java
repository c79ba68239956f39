package org.merlinwood.gateway.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

/**
 * The recent crashes of instances and the parts of prompts that may have caused them, and the search for those that
 * did: the fewest parts that explain the crashes.
 *
 * <p>Crashes close to one another count once, since a failure domain or a network ends many instances at the same time,
 * unless a suspect was sent after the first of them. A part that was in a request to which a response began after its
 * last crash is cleared. Confined to the event loop.
 */
final class CrashEvidence {

    /**
     * Number of occurrences that suffice to block a part of which no response has ever begun, if other parts are sound.
     */
    static final int BLOCKING_COUNT = 2;

    /** Number of occurrences that suffice to block a part that was sound before, or that is in all requests. */
    static final int BLOCKING_COUNT_OF_SOUND_PART = 5;

    /** Time from the first crash of an occurrence within which others belong to it, in milliseconds. */
    static final long OCCURRENCE_MILLIS = 300;

    /** Time for which an occurrence counts, in milliseconds. */
    static final long RETENTION_MILLIS = 60_000;

    private static final int MAXIMUM_OCCURRENCES = 64;

    private final List<Occurrence> occurrences = new ArrayList<>();

    /** One start of an instance. */
    private record Incarnation(String instance, long startedUnixMillis) {}

    /** Crashes that count once. */
    private static final class Occurrence {

        private final long atMillis;
        private final Set<Incarnation> crashed = new HashSet<>();
        private final List<Set<Long>> suspects = new ArrayList<>();

        private Occurrence(long atMillis) {
            this.atMillis = atMillis;
        }

        private Set<Long> suspectParts() {
            return suspects.stream().flatMap(Set::stream).collect(Collectors.toSet());
        }

        private void clear(long part) {
            suspects.forEach(parts -> parts.remove(part));
            suspects.removeIf(Set::isEmpty);
        }
    }

    /**
     * Adds the suspects of a crash; several entries may report the same one.
     *
     * @param crash the crash
     * @param atMillis monotonic time of the crash, in milliseconds
     * @param suspectMillis monotonic time at which the last suspect was sent to the instance, in milliseconds
     * @param suspects its suspects, each by those of its parts that have not been cleared since
     */
    void add(CrashReport.Crash crash, long atMillis, long suspectMillis, List<Set<Long>> suspects) {
        occurrences.removeIf(occurrence -> occurrence.atMillis < atMillis - RETENTION_MILLIS);
        if (suspects.isEmpty()) {
            return;
        }
        Incarnation incarnation = new Incarnation(crash.instance(), crash.startedUnixMillis());
        Occurrence occurrence = find(incarnation, atMillis, suspectMillis).orElseGet(() -> begin(atMillis));
        occurrence.crashed.add(incarnation);
        suspects.forEach(parts -> occurrence.suspects.add(new HashSet<>(parts)));
    }

    private Optional<Occurrence> find(Incarnation incarnation, long atMillis, long suspectMillis) {
        return occurrences.stream()
                .filter(occurrence -> occurrence.crashed.contains(incarnation))
                .findFirst()
                .or(() -> occurrences.stream()
                        .filter(occurrence -> Math.abs(atMillis - occurrence.atMillis) <= OCCURRENCE_MILLIS)
                        .filter(occurrence -> suspectMillis <= occurrence.atMillis)
                        .findFirst());
    }

    private Occurrence begin(long atMillis) {
        if (occurrences.size() >= MAXIMUM_OCCURRENCES) {
            occurrences.removeFirst();
        }
        Occurrence occurrence = new Occurrence(atMillis);
        occurrences.add(occurrence);
        return occurrence;
    }

    /** Returns whether there is no occurrence that counts. */
    boolean isEmpty() {
        return occurrences.isEmpty();
    }

    /** Returns whether a part is a suspect. */
    boolean suspects(long part) {
        return occurrences.stream()
                .anyMatch(occurrence -> occurrence.suspectParts().contains(part));
    }

    /**
     * Clears a part of the occurrences before a response to it began.
     *
     * @param part the part
     * @param begunMillis monotonic time at which the response began, in milliseconds
     */
    void clear(long part, long begunMillis) {
        occurrences.stream()
                .filter(occurrence -> occurrence.atMillis <= begunMillis)
                .forEach(occurrence -> occurrence.clear(part));
        occurrences.removeIf(occurrence -> occurrence.suspects.isEmpty());
    }

    /**
     * Returns the parts that explain the occurrences, those that explain most first; a part explains nothing that one
     * before it explains. Parts that occurred together each time are one combination.
     *
     * @param sound whether a response to a part has ever begun
     * @param lastBegunMillis monotonic time at which the last response of any request began, in milliseconds
     * @return the explanations that suffice for a block
     */
    List<Explanation> explanations(LongPredicate sound, long lastBegunMillis) {
        List<Explanation> explanations = new ArrayList<>();
        List<Occurrence> unexplained = new ArrayList<>(occurrences);
        Optional<Candidate> best = bestCandidate(unexplained, sound);
        while (best.isPresent() && best.get().isSufficient(lastBegunMillis)) {
            explanations.addAll(best.get().explanations());
            unexplained.removeAll(best.get().occurrences);
            best = bestCandidate(unexplained, sound);
        }
        return explanations;
    }

    private static Optional<Candidate> bestCandidate(List<Occurrence> unexplained, LongPredicate sound) {
        Map<Long, List<Occurrence>> occurrencesByPart = new HashMap<>();
        unexplained.forEach(occurrence -> occurrence
                .suspectParts()
                .forEach(part -> occurrencesByPart
                        .computeIfAbsent(part, ignored -> new ArrayList<>())
                        .add(occurrence)));
        Map<List<Occurrence>, Candidate> candidates = new HashMap<>();
        occurrencesByPart.forEach((part, within) -> {
            boolean partSound = sound.test(part);
            candidates.merge(within, new Candidate(Set.of(part), within, partSound), Candidate::combine);
        });
        return candidates.values().stream().max(Candidate::compareWeight);
    }

    /**
     * Parts that explain occurrences.
     *
     * @param parts the parts, more than one if the suspects had them together each time
     * @param lastMillis monotonic time of the last of the occurrences, in milliseconds
     */
    record Explanation(Set<Long> parts, long lastMillis) {}

    /** Parts that were in the same occurrences. */
    private record Candidate(Set<Long> parts, List<Occurrence> occurrences, boolean sound) {

        /** Returns both, or the one that was never sound if the other one was. */
        private Candidate combine(Candidate other) {
            if (sound != other.sound) {
                return sound ? other : this;
            }
            Set<Long> all = new HashSet<>(parts);
            all.addAll(other.parts);
            return new Candidate(all, occurrences, sound);
        }

        /** Compares by the share of the occurrences that suffice for a block. */
        private int compareWeight(Candidate other) {
            return Integer.compare(
                    occurrences.size() * other.usualBlockingCount(), other.occurrences.size() * usualBlockingCount());
        }

        private int usualBlockingCount() {
            return sound ? BLOCKING_COUNT_OF_SOUND_PART : BLOCKING_COUNT;
        }

        /**
         * Returns one explanation for each combination of the parts in one suspect. One that is within another is left
         * out: if its parts are the cause, requests without the rest crash the next instance, and tell them apart.
         */
        private List<Explanation> explanations() {
            List<Set<Long>> combinations = occurrences.stream()
                    .flatMap(occurrence -> occurrence.suspects.stream())
                    .map(suspect -> suspect.stream().filter(parts::contains).collect(Collectors.toSet()))
                    .distinct()
                    .toList();
            return combinations.stream()
                    .filter(combination -> combinations.stream()
                            .noneMatch(other -> other.size() > combination.size() && other.containsAll(combination)))
                    .map(combination -> new Explanation(combination, occurrences.getLast().atMillis))
                    .toList();
        }

        private boolean isSufficient(long lastBegunMillis) {
            boolean othersAreSound = lastBegunMillis > occurrences.getFirst().atMillis;
            return occurrences.size() >= (othersAreSound ? usualBlockingCount() : BLOCKING_COUNT_OF_SOUND_PART);
        }
    }
}
