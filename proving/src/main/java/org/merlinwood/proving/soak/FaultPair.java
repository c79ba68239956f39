package org.merlinwood.proving.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.merlinwood.platform.standin.Arrival;

/**
 * What an instance or the store states on the users' platform, paired with another failure. Each pair runs in a
 * deployment of its own, under the load of a seed, and is judged by the checks of the soak. Immutable.
 */
public final class FaultPair {

    /** Index of a plain instance of the deployment. */
    private static final int PLAIN = 5;

    /** Index of another plain instance. */
    private static final int OTHER_PLAIN = 6;

    /** An instance says that it leaves while no entry can reach the store. */
    public static final FaultPair LEAVING_INSTANCE_ENTRY_CUT_OFF = new FaultPair(
            Arrival::leaving,
            new ScheduledFault(FaultKind.STORE_SILENT, 0, 2_000, 5_500),
            new ScheduledFault(FaultKind.INSTANCE_LEAVES, PLAIN, 2_500, 4_500));

    /**
     * An instance says that it leaves, and the store is restored from a backup that has it as ready. The store is cut
     * off before, so that entries learn it from responses.
     */
    public static final FaultPair LEAVING_INSTANCE_STORE_RESTORED = new FaultPair(
            Arrival::leaving,
            new ScheduledFault(FaultKind.STORE_SILENT, 0, 2_000, 1_500),
            new ScheduledFault(FaultKind.INSTANCE_LEAVES, PLAIN, 2_500, 5_500),
            new ScheduledFault(FaultKind.STORE_RESTORED, 0, 4_500, 1_500));

    /** An instance names a time in which it wants no request, and an entry is killed and started again in it. */
    public static final FaultPair NAMED_TIME_ENTRY_RESTARTED = new FaultPair(
            arrival -> arrival.declinedMillis() > 0,
            new ScheduledFault(FaultKind.INSTANCE_DECLINES, OTHER_PLAIN, 2_500, 3_500),
            new ScheduledFault(FaultKind.ENTRY_KILLED, 0, 3_500, 500));

    /** An instance names a time in which it wants no request while no entry can reach the store. */
    public static final FaultPair NAMED_TIME_ENTRY_CUT_OFF = new FaultPair(
            arrival -> arrival.declinedMillis() > 0,
            new ScheduledFault(FaultKind.STORE_SILENT, 0, 2_000, 5_000),
            new ScheduledFault(FaultKind.INSTANCE_DECLINES, OTHER_PLAIN, 2_500, 3_500));

    /** The store is restored twice within ten seconds; each backup lacks a published configuration. */
    public static final FaultPair STORE_RESTORED_TWICE = new FaultPair(
            arrival -> true,
            new ScheduledFault(FaultKind.CONFIGURATION_CHANGES, 0, 2_500, 0),
            new ScheduledFault(FaultKind.STORE_RESTORED, 0, 4_000, 1_000),
            new ScheduledFault(FaultKind.CONFIGURATION_CHANGES, 0, 6_500, 0),
            new ScheduledFault(FaultKind.STORE_RESTORED, 0, 8_000, 1_000));

    private final Predicate<Arrival> shows;
    private final FaultPlan plan;

    private FaultPair(Predicate<Arrival> shows, ScheduledFault... faults) {
        this.shows = shows;
        this.plan = new FaultPlan(List.of(faults));
    }

    /**
     * The outcome of one run. Immutable.
     *
     * @param provoked whether an instance stated what the pair is about to an entry
     * @param summary counts of requests
     * @param violations one message for each broken promise
     */
    public record Outcome(boolean provoked, String summary, List<String> violations) {

        /** Copies the list. */
        public Outcome {
            violations = List.copyOf(violations);
        }
    }

    /**
     * Runs the pair.
     *
     * @param seed determines the load
     * @return the outcome
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if an entry does not get ready
     */
    public Outcome run(long seed) throws InterruptedException {
        SoakResult result = new SoakSeed(seed, plan.endMillis(), createFolder()).run(plan);
        boolean provoked = result.arrivals().stream().anyMatch(shows);
        return new Outcome(provoked, result.summary(), result.violations());
    }

    private static Path createFolder() {
        try {
            return Files.createTempDirectory("fault-pair");
        } catch (IOException exception) {
            throw new UncheckedIOException("could not create a temporary folder", exception);
        }
    }
}
