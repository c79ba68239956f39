package org.merlinwood.sidecar.suspicion;

import java.util.function.BinaryOperator;
import java.util.function.Consumer;

/**
 * Collects the decisions of all homes and passes on the strictest. Used by the control thread only.
 *
 * @param <T> type of a decision
 */
final class StrictestDecision<T> {

    private final BinaryOperator<T> stricter;
    private final Consumer<T> onDecision;
    private int pendingHomes;
    private T strictest;

    /** Creates a collector. Passes on the most lenient decision at once if there are no homes. */
    StrictestDecision(int homes, T mostLenient, BinaryOperator<T> stricter, Consumer<T> onDecision) {
        this.pendingHomes = homes;
        this.strictest = mostLenient;
        this.stricter = stricter;
        this.onDecision = onDecision;
        if (homes == 0) {
            onDecision.accept(mostLenient);
        }
    }

    void add(T decision) {
        strictest = stricter.apply(strictest, decision);
        pendingHomes--;
        if (pendingHomes == 0) {
            onDecision.accept(strictest);
        }
    }
}
