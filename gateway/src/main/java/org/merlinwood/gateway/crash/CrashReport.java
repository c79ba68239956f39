package org.merlinwood.gateway.crash;

import java.util.List;
import java.util.Set;

/**
 * What an entry reports to the others about crashes of instances and the parts of prompts that may have caused them.
 * Parts are given by their fingerprints, see {@link PartFingerprints}. Immutable.
 *
 * @param crashes crashes that it saw since the previous report
 * @param begunParts parts of suspects of which it knows, since the previous report, that a response to them began
 * @param blocks some of the combinations of parts that it blocks; all are in one of several consecutive reports
 */
public record CrashReport(List<Crash> crashes, List<BegunPart> begunParts, List<Block> blocks) {

    /** The report of an entry that has nothing to report. */
    public static final CrashReport EMPTY = new CrashReport(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public CrashReport {
        crashes = List.copyOf(crashes);
        begunParts = List.copyOf(begunParts);
        blocks = List.copyOf(blocks);
    }

    /**
     * The crash of one incarnation of an instance.
     *
     * @param instance identifier of the instance
     * @param startedUnixMillis its start, see {@link org.merlinwood.gateway.fleet.UpstreamInstance}
     * @param ageMillis time since the crash, in milliseconds, 0 or more
     * @param suspectAgeMillis time since the last of its suspects was sent to it, in milliseconds
     * @param suspects the requests to which it was about to begin a response, each by its parts; may be empty
     */
    public record Crash(
            String instance, long startedUnixMillis, long ageMillis, long suspectAgeMillis, List<Set<Long>> suspects) {

        /** Copies the list and its sets. */
        public Crash {
            suspects = suspects.stream().map(Set::copyOf).toList();
        }

        /**
         * Returns the same crash as it is reported some time later.
         *
         * @param millis time that has passed, in milliseconds, 0 or more
         * @return the crash with both ages increased
         */
        public Crash after(long millis) {
            return new Crash(instance, startedUnixMillis, ageMillis + millis, suspectAgeMillis + millis, suspects);
        }
    }

    /**
     * A part of a request to which an instance began a response.
     *
     * @param part the part
     * @param ageMillis time since the last such response began, in milliseconds, 0 or more
     */
    public record BegunPart(long part, long ageMillis) {}

    /**
     * A combination of parts. A request that has all of them is blocked.
     *
     * @param parts the parts, at least one; more than one if no request has distinguished them
     * @param lastCrashAgeMillis time since the last crash that they caused, in milliseconds, 0 or more
     * @param count how often they were blocked after they had been tried again, at least 1
     */
    public record Block(Set<Long> parts, long lastCrashAgeMillis, int count) {

        /** Copies the set. */
        public Block {
            parts = Set.copyOf(parts);
        }
    }
}
