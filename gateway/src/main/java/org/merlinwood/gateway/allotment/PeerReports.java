package org.merlinwood.gateway.allotment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/** What one life of a peer has reported of the workspaces with recent requests. Confined to the event loop. */
final class PeerReports {

    private final long incarnation;
    private final Map<String, PeerUse> uses = new HashMap<>();
    private long reportedMillis;
    private int number;

    PeerReports(long incarnation, long nowMillis) {
        this.incarnation = incarnation;
        this.reportedMillis = nowMillis;
    }

    boolean isOf(long otherIncarnation) {
        return incarnation == otherIncarnation;
    }

    /** Begins the next report and returns its number. */
    int begin() {
        return ++number;
    }

    /** Returns what the peer has reported of a workspace; a new one has sums of 0. */
    PeerUse use(String workspace) {
        return uses.computeIfAbsent(workspace, ignored -> new PeerUse());
    }

    /** Returns the time since the report before the one that has begun, in milliseconds. */
    long sinceLastMillis(long nowMillis) {
        return nowMillis - reportedMillis;
    }

    /** Ends a report: the sums of workspaces that it does not name begin at 0 again. */
    void end(int workspaces, long nowMillis) {
        reportedMillis = nowMillis;
        if (uses.size() > workspaces) {
            uses.values().removeIf(use -> !use.isIn(number));
        }
    }

    /** Passes the units that the peer has probably admitted in a time in milliseconds since its last report. */
    void estimateSince(long ageMillis, ObjLongConsumer<String> consumer) {
        uses.forEach((workspace, use) -> consumer.accept(workspace, use.estimateSince(ageMillis)));
    }
}
