package org.merlinwood.replay.trace;

import java.util.List;
import org.merlinwood.configuration.rules.CallerClass;

/** Fleets and rules of the two deployments, with the variations that some traces use. Stateless. */
final class Deployments {

    static final long LINK_BYTES_PER_MILLI = 10_000_000;

    private static final long FIRST_TOKEN_MILLIS = 1_600;
    private static final long BETWEEN_TOKENS_MILLIS = 80;
    private static final int CONCURRENT_REQUESTS = 64;
    private static final double PREFILL_TOKENS_PER_MILLI = 20;
    private static final int PREFILL_CACHE_TOKENS = 300_000;
    private static final long RESULT_LIFE_MILLIS = 800;
    private static final int DECODE_PIECES = 64;
    private static final double STEP_MILLIS = 20;
    private static final double STEP_MILLIS_PER_REQUEST = 1.2;
    private static final long BYTES_PER_TOKEN = 100_000;
    private static final int ENTRIES = 3;

    static final Fleet.Reports USUAL_REPORTS = new Fleet.Reports(250, 500, 0.05);

    private Deployments() {}

    static Fleet bagmati(int prefills, int decodes) {
        return fleet(List.of("lalitpur", "bhaktapur", "kirtipur"), prefills, decodes, LINK_BYTES_PER_MILLI);
    }

    static Fleet cordillera(int prefills, int decodes) {
        return fleet(List.of("andina-a", "andina-b", "andina-c"), prefills, decodes, LINK_BYTES_PER_MILLI);
    }

    static Fleet withLinks(Fleet fleet, long bytesPerMilli) {
        return new Fleet(
                fleet.failureDomains(),
                fleet.entries(),
                fleet.prefill(),
                fleet.decode(),
                new Fleet.Link(bytesPerMilli, BYTES_PER_TOKEN),
                fleet.plain(),
                fleet.reports());
    }

    static Fleet withReports(Fleet fleet, Fleet.Reports reports) {
        return new Fleet(
                fleet.failureDomains(),
                fleet.entries(),
                fleet.prefill(),
                fleet.decode(),
                fleet.link(),
                fleet.plain(),
                reports);
    }

    static List<CallerClass> bagmatiClasses() {
        return List.of(callerClass("officers", 0, 2), callerClass("inspectors", 1, 1));
    }

    static List<CallerClass> cordilleraClasses() {
        return List.of(callerClass("status", 0, 1), callerClass("managers", 1, 1));
    }

    private static Fleet fleet(List<String> domains, int prefills, int decodes, long linkBytesPerMilli) {
        return new Fleet(
                domains,
                ENTRIES,
                new Fleet.Prefill(prefills, PREFILL_TOKENS_PER_MILLI, PREFILL_CACHE_TOKENS, RESULT_LIFE_MILLIS),
                new Fleet.Decode(decodes, DECODE_PIECES, STEP_MILLIS, STEP_MILLIS_PER_REQUEST),
                new Fleet.Link(linkBytesPerMilli, BYTES_PER_TOKEN),
                new Fleet.Plain(3, 16, 40),
                USUAL_REPORTS);
    }

    private static CallerClass callerClass(String name, int priority, double share) {
        return new CallerClass(name, priority, FIRST_TOKEN_MILLIS, BETWEEN_TOKENS_MILLIS, share, CONCURRENT_REQUESTS);
    }
}
