package org.merlinwood.gateway.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.merlinwood.gateway.upstream.UpstreamLoad;

/**
 * Load and speed of one instance by the reports in its responses, those that other entries relayed included, and the
 * attempts that this entry has sent since the last one. Reports without a speed are not kept. Gives the same results on
 * all machines, on which seeded simulations rely. Confined to the event loop.
 */
final class ReportedLoad {

    /** Age above which a report is ignored, in milliseconds. */
    static final long MAXIMUM_AGE_MILLIS = 5_000;

    /** Bounds of the reported time of work, in percent of the usual time; figures beyond them are clamped. */
    static final int MINIMUM_WORK_PERCENT = 10;

    static final int MAXIMUM_WORK_PERCENT = 1_000;

    /** Upper bound of reported numbers of requests and slots; figures beyond it are clamped. */
    static final int MAXIMUM_COUNT = 1_000;

    /** Time in which the last reported speed loses 63 % of its weight against the average one, in milliseconds. */
    private static final double SPEED_DECAY_MILLIS = 400;

    /** Time constant of the average speed, in milliseconds. */
    private static final double AVERAGE_SPEED_MILLIS = 5_000;

    private static final double PERCENT = 100;

    private final List<ActivePlainAttempt> openAttempts = new ArrayList<>();
    private Optional<Report> last = Optional.empty();
    private Optional<Report> unsent = Optional.empty();
    private double averageFactor;

    /**
     * A report.
     *
     * @param load the figures, within their bounds
     * @param atMillis monotonic time of its arrival at the entry that received it, in milliseconds
     */
    private record Report(UpstreamLoad load, long atMillis) {

        /** Returns how long work takes, relative to the usual time. */
        private double factor() {
            return load.workPercent() / PERCENT;
        }

        private long ageMillis(long nowMillis) {
            return nowMillis - atMillis;
        }
    }

    void beginAttempt(ActivePlainAttempt attempt) {
        openAttempts.add(attempt);
    }

    void endAttempt(ActivePlainAttempt attempt) {
        openAttempts.remove(attempt);
    }

    /** Records what the instance reported to this entry. */
    void record(UpstreamLoad load, long nowMillis) {
        if (load.workPercent() > 0) {
            Report report = new Report(clamp(load), nowMillis);
            unsent = Optional.of(report);
            keepFreshest(report);
        }
    }

    /** Records what the instance reported to another entry. */
    void recordRelayed(EntryReport.InstanceLoad relayed, long nowMillis) {
        if (relayed.workPercent() > 0 && relayed.ageMillis() >= 0 && relayed.ageMillis() <= MAXIMUM_AGE_MILLIS) {
            UpstreamLoad load =
                    new UpstreamLoad(relayed.running(), relayed.waiting(), relayed.slots(), relayed.workPercent());
            keepFreshest(new Report(clamp(load), nowMillis - relayed.ageMillis()));
        }
    }

    private static UpstreamLoad clamp(UpstreamLoad load) {
        return new UpstreamLoad(
                Math.clamp(load.running(), 0, MAXIMUM_COUNT),
                Math.clamp(load.waiting(), 0, MAXIMUM_COUNT),
                Math.clamp(load.slots(), 1, MAXIMUM_COUNT),
                Math.clamp(load.workPercent(), MINIMUM_WORK_PERCENT, MAXIMUM_WORK_PERCENT));
    }

    private void keepFreshest(Report report) {
        if (last.isEmpty()) {
            averageFactor = report.factor();
        } else if (report.atMillis() < last.get().atMillis()) {
            return;
        } else {
            double weight = 1 - StrictMath.exp(-last.get().ageMillis(report.atMillis()) / AVERAGE_SPEED_MILLIS);
            averageFactor += (report.factor() - averageFactor) * weight;
        }
        last = Optional.of(report);
    }

    /** Returns the last own report if it was not returned before. */
    Optional<EntryReport.InstanceLoad> drainUnsent(String identifier, long nowMillis) {
        Optional<EntryReport.InstanceLoad> drained = unsent.map(report -> new EntryReport.InstanceLoad(
                identifier,
                report.load().running(),
                report.load().waiting(),
                report.load().slots(),
                report.load().workPercent(),
                report.ageMillis(nowMillis)));
        unsent = Optional.empty();
        return drained;
    }

    /** Returns whether there is a report that is recent enough to be used. */
    boolean isKnown(long nowMillis) {
        return last.filter(report -> report.ageMillis(nowMillis) <= MAXIMUM_AGE_MILLIS)
                .isPresent();
    }

    /** Returns the age of the last report in milliseconds. Called only if there is one. */
    long ageMillis(long nowMillis) {
        return last.orElseThrow().ageMillis(nowMillis);
    }

    /** Returns how long work takes now, relative to the usual time. Called only if there is a report. */
    double factor(long nowMillis) {
        Report report = last.orElseThrow();
        double weight = StrictMath.exp(-report.ageMillis(nowMillis) / SPEED_DECAY_MILLIS);
        return averageFactor + (report.factor() - averageFactor) * weight;
    }

    /**
     * Returns how long work takes, relative to the usual time, also by an old report: its last speed is then taken to
     * be the average one. Empty if the instance has never reported its speed.
     */
    OptionalDouble workFactor(long nowMillis) {
        return last.isPresent() ? OptionalDouble.of(factor(nowMillis)) : OptionalDouble.empty();
    }

    /** Returns the last reported figures. Called only if there is a report. */
    UpstreamLoad load() {
        return last.orElseThrow().load();
    }

    /** Returns the number of requests that this entry has sent since the last report and that have not ended. */
    int sentSinceReport() {
        return (int) openAttempts.stream()
                .filter(attempt ->
                        last.isEmpty() || attempt.startedMillis() > last.get().atMillis())
                .count();
    }
}
