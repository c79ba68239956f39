package org.merlinwood.replay.trace;

import java.nio.file.Path;
import java.util.List;

/** Generates the recorded traces from fixed seeds. Stateless and thread-safe. */
public final class TraceGenerator {

    private static final long SEED = 20_261_203;
    private static final long MINUTE_MILLIS = 60_000;
    private static final long TWO_MINUTES_MILLIS = 120_000;
    private static final int RETRY_BUDGET_PERCENT = 20;
    private static final CallerBehaviour PATIENT = new CallerBehaviour(10_000, 1, 1_000);
    private static final CallerBehaviour RESENDING = new CallerBehaviour(3_000, 5, 1_000);

    private TraceGenerator() {}

    /**
     * Generates all traces.
     *
     * @return the traces; equal on each call
     */
    public static List<Trace> all() {
        return List.of(
                bagmati(),
                cordillera(),
                decodePeak(),
                prefillPeak(),
                linkPeak(),
                domainLoss(),
                staleLoad(),
                resendStorm());
    }

    /**
     * Writes all traces.
     *
     * @param arguments the output folder
     */
    public static void main(String[] arguments) {
        Path folder = Path.of(arguments[0]);
        all().forEach(trace ->
                TraceFile.write(trace, folder.resolve(trace.header().trace() + TraceFile.SUFFIX)));
    }

    private static Trace bagmati() {
        EventGenerator events = new EventGenerator(SEED + 1)
                .addModelRequests(Workload.REPORTS, 4, 0, TWO_MINUTES_MILLIS)
                .addModelRequests(Workload.REPORTS, 5, 50_000, 80_000)
                .addPlainRequests("officers", 12, 3, 0, TWO_MINUTES_MILLIS);
        return bagmatiTrace(
                "bagmati",
                "Long reports and look-ups, with a burst at shift change.",
                1,
                Deployments.bagmati(4, 6),
                PATIENT,
                DemandedOutcomes.ANY_TRACE,
                events);
    }

    private static Trace cordillera() {
        EventGenerator events = new EventGenerator(SEED + 2)
                .addModelRequests(Workload.REVIEWS, 5.5, 0, TWO_MINUTES_MILLIS)
                .addModelRequests(Workload.REVIEWS, 2, 40_000, 70_000)
                .addPlainRequests("status", 30, 4, 0, TWO_MINUTES_MILLIS);
        return cordilleraTrace(
                "cordillera",
                "Long threads behind shared style guides, with status checks of the morning.",
                2,
                PATIENT,
                events);
    }

    private static Trace decodePeak() {
        EventGenerator events = new EventGenerator(SEED + 3).addModelRequests(Workload.REPORTS, 13.5, 0, MINUTE_MILLIS);
        return bagmatiTrace(
                "decode-peak",
                "Half as many requests again as the memory of the decode pool takes.",
                3,
                Deployments.bagmati(8, 6),
                PATIENT,
                DemandedOutcomes.BOTTLENECK,
                events);
    }

    private static Trace prefillPeak() {
        Workload workload = Workload.REPORTS.withOutput(30, 80);
        EventGenerator events = new EventGenerator(SEED + 4).addModelRequests(workload, 20, 0, MINUTE_MILLIS);
        return bagmatiTrace(
                "prefill-peak",
                "Half as many prompt tokens again as the prefill pool computes.",
                4,
                Deployments.bagmati(4, 10),
                PATIENT,
                DemandedOutcomes.BOTTLENECK,
                events);
    }

    private static Trace linkPeak() {
        Workload workload = Workload.REPORTS.withOutput(60, 140);
        EventGenerator events = new EventGenerator(SEED + 5).addModelRequests(workload, 10.5, 0, 90_000);
        Fleet fleet = Deployments.withLinks(Deployments.bagmati(4, 10), 1_200_000);
        return bagmatiTrace(
                "link-peak",
                "Half as many bytes of KV cache again as the links of the prefill pool carry.",
                5,
                fleet,
                PATIENT,
                DemandedOutcomes.BOTTLENECK,
                events);
    }

    private static Trace domainLoss() {
        EventGenerator events = new EventGenerator(SEED + 6)
                .addModelRequests(Workload.REPORTS, 11, 0, 90_000)
                .addPlainRequests("officers", 12, 3, 0, 90_000)
                .addDomainLoss(40_000, "lalitpur");
        return bagmatiTrace(
                "domain-loss",
                "A failure domain ends and leaves a fifth less than what is offered.",
                6,
                Deployments.bagmati(6, 9),
                PATIENT,
                DemandedOutcomes.ANY_TRACE,
                events);
    }

    private static Trace staleLoad() {
        EventGenerator events = new EventGenerator(SEED + 7)
                .addModelRequests(Workload.REPORTS, 6, 0, TWO_MINUTES_MILLIS)
                .addModelRequests(Workload.REPORTS, 6, 30_000, 40_000)
                .addModelRequests(Workload.REPORTS, 6, 80_000, 90_000);
        Fleet fleet = Deployments.withReports(Deployments.bagmati(4, 6), new Fleet.Reports(3_000, 2_000, 0.5));
        return bagmatiTrace(
                "stale-load",
                "Reports of load are three seconds old, half of the cache events never come.",
                7,
                fleet,
                PATIENT,
                DemandedOutcomes.ANY_TRACE,
                events);
    }

    private static Trace resendStorm() {
        EventGenerator events = new EventGenerator(SEED + 8)
                .addModelRequests(Workload.REVIEWS, 6, 0, 100_000)
                .addModelRequests(Workload.REVIEWS, 18, 20_000, 35_000);
        return cordilleraTrace(
                "resend-storm",
                "A burst at three times the capacity, whose callers send again up to four times.",
                8,
                RESENDING,
                events);
    }

    private static Trace bagmatiTrace(
            String name,
            String description,
            long number,
            Fleet fleet,
            CallerBehaviour callers,
            DemandedOutcomes outcomes,
            EventGenerator events) {
        TraceHeader header = new TraceHeader(
                name,
                description,
                SEED + number,
                fleet,
                2,
                1,
                RETRY_BUDGET_PERCENT,
                Deployments.bagmatiClasses(),
                callers,
                outcomes);
        return new Trace(header, events.events());
    }

    private static Trace cordilleraTrace(
            String name, String description, long number, CallerBehaviour callers, EventGenerator events) {
        TraceHeader header = new TraceHeader(
                name,
                description,
                SEED + number,
                Deployments.cordillera(3, 3),
                1,
                2,
                RETRY_BUDGET_PERCENT,
                Deployments.cordilleraClasses(),
                callers,
                DemandedOutcomes.ANY_TRACE);
        return new Trace(header, events.events());
    }
}
