package org.merlinwood.replay.fake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Requests that wait for a grant at one fake sidecar, in the order of its behaviour. */
final class AskQueue {

    private static final Comparator<Ask> BY_TARGET =
            Comparator.comparingInt(Ask::priority).thenComparingLong(Ask::latestStartMicros);

    private final SidecarBehaviour behaviour;
    private final List<Ask> asks = new ArrayList<>();

    AskQueue(SidecarBehaviour behaviour) {
        this.behaviour = behaviour;
    }

    void add(Ask ask) {
        asks.add(ask);
    }

    Optional<Ask> next() {
        asks.removeIf(Ask::isClosed);
        return switch (behaviour) {
            case FIRST_COME -> asks.stream().findFirst();
            case BY_TARGET -> asks.stream().min(BY_TARGET);
        };
    }

    void remove(Ask ask) {
        asks.remove(ask);
    }

    int size() {
        asks.removeIf(Ask::isClosed);
        return asks.size();
    }

    long tokens() {
        return asks.stream()
                .filter(ask -> !ask.isClosed())
                .mapToLong(Ask::tokens)
                .sum();
    }

    int pieces() {
        return asks.stream()
                .filter(ask -> !ask.isClosed())
                .mapToInt(Ask::pieces)
                .sum();
    }

    long tokensBefore(Ask newcomer) {
        return asks.stream()
                .filter(ask -> !ask.isClosed())
                .filter(ask -> behaviour == SidecarBehaviour.FIRST_COME || BY_TARGET.compare(ask, newcomer) <= 0)
                .mapToLong(Ask::tokens)
                .sum();
    }

    int piecesBefore(Ask newcomer) {
        return asks.stream()
                .filter(ask -> !ask.isClosed())
                .filter(ask -> behaviour == SidecarBehaviour.FIRST_COME || BY_TARGET.compare(ask, newcomer) <= 0)
                .mapToInt(Ask::pieces)
                .sum();
    }

    List<Ask> drain() {
        List<Ask> all = List.copyOf(asks);
        asks.clear();
        return all;
    }
}
