package org.merlinwood.gateway.process;

import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.merlinwood.gateway.crash.CrashListener;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.gateway.crash.PartFingerprints;
import org.merlinwood.operation.log.DecisionLog;

/** Writes a log line and counts for each crash of an instance and each block of prompt parts. */
final class CrashRecorder implements CrashListener {

    private final DecisionLog log;
    private final MetricRegistry metrics;

    /**
     * Creates a recorder.
     *
     * @param log receives the log lines
     * @param metrics receives the counters
     */
    CrashRecorder(DecisionLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onCrash(CrashReport.Crash crash, String reporter) {
        metrics.counter("instance_crashes_reported").inc();
        log.line("instance crashed")
                .with("instance", crash.instance())
                .with("startedUnixMillis", crash.startedUnixMillis())
                .with("ageMillis", crash.ageMillis())
                .with(
                        "suspects",
                        crash.suspects().stream().map(CrashRecorder::describe).collect(Collectors.joining(" ")))
                .with("reporter", reporter)
                .write();
    }

    @Override
    public void onConnectionLost(String instance) {
        metrics.counter("instances_alive_after_lost_connection").inc();
        log.line("connection lost, instance alive").with("instance", instance).write();
    }

    @Override
    public void onBlocked(Set<Long> parts, String reporter) {
        metrics.counter("prompt_parts_blocked_total").inc();
        log.line("parts blocked")
                .with("parts", describe(parts))
                .with("reporter", reporter)
                .write();
    }

    @Override
    public void onCleared(long part) {
        metrics.counter("prompt_parts_cleared_total").inc();
        log.line("part cleared").with("part", PartFingerprints.format(part)).write();
    }

    private static String describe(Collection<Long> parts) {
        return parts.stream().map(PartFingerprints::format).collect(Collectors.joining(","));
    }
}
