package org.merlinwood.operation.metric;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Writes a metric registry in the Prometheus text exposition format, version 0.0.4. Stateless and thread-safe. */
public final class MetricsText {

    /** Media type of the format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "merlinwood_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private MetricsText() {}

    /**
     * Writes all metrics of a registry. Gauges whose value is not a number are omitted.
     *
     * @param registry the registry
     * @return the metrics in the exposition format
     */
    public static String write(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getGauges().forEach((name, gauge) -> writeGauge(text, name, gauge));
        registry.getCounters().forEach((name, counter) -> writeCounter(text, name, counter));
        registry.getMeters().forEach((name, meter) -> writeMeter(text, name, meter));
        registry.getHistograms().forEach((name, histogram) -> writeHistogram(text, name, histogram));
        registry.getTimers().forEach((name, timer) -> writeTimer(text, name, timer));
        return text.toString();
    }

    private static void writeGauge(StringBuilder text, String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            writeType(text, name, "gauge");
            writeLine(text, name, "", number.doubleValue());
        }
    }

    private static void writeCounter(StringBuilder text, String name, Counter counter) {
        writeType(text, name, "gauge");
        writeLine(text, name, "", (double) counter.getCount());
    }

    private static void writeMeter(StringBuilder text, String name, Meter meter) {
        writeType(text, name + "_total", "counter");
        writeLine(text, name + "_total", "", (double) meter.getCount());
    }

    private static void writeHistogram(StringBuilder text, String name, Histogram histogram) {
        writeSummary(text, name, histogram.getSnapshot(), histogram.getCount(), 1);
    }

    private static void writeTimer(StringBuilder text, String name, Timer timer) {
        writeSummary(text, name + "_seconds", timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
    }

    private static void writeSummary(StringBuilder text, String name, Snapshot snapshot, long count, double unit) {
        writeType(text, name, "summary");
        writeLine(text, name, "{quantile=\"0.5\"}", snapshot.getMedian() / unit);
        writeLine(text, name, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / unit);
        writeLine(text, name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / unit);
        writeLine(text, name + "_count", "", (double) count);
    }

    private static void writeType(StringBuilder text, String name, String type) {
        text.append("# TYPE ")
                .append(exposedName(name))
                .append(' ')
                .append(type)
                .append('\n');
    }

    private static void writeLine(StringBuilder text, String name, String labels, double value) {
        text.append(exposedName(name)).append(labels).append(' ').append(value).append('\n');
    }

    private static String exposedName(String name) {
        return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }
}
