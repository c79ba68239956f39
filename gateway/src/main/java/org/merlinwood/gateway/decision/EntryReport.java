package org.merlinwood.gateway.decision;

import java.util.List;

/**
 * What an entry reports of itself in each status, so that all entries together respect the limits of workspaces and
 * share what instances have. Immutable.
 *
 * @param incarnation differs between two lives of the entry, whose counts start anew
 * @param configurationVersion version of the configuration in force at the entry; 0 if none
 * @param allotments what the workspaces have used at the entry; empty without workspaces
 * @param instanceLoads loads that instances have recently reported to the entry itself
 * @param waitingRequests requests that wait for memory at the entry
 */
public record EntryReport(
        long incarnation,
        long configurationVersion,
        AllotmentReport allotments,
        List<InstanceLoad> instanceLoads,
        List<WaitingRequests> waitingRequests) {

    /** The report of an entry of an earlier release, which reports none of this. */
    public static final EntryReport EMPTY = new EntryReport(0, 0, AllotmentReport.EMPTY, List.of(), List.of());

    /** Copies the lists. */
    public EntryReport {
        instanceLoads = List.copyOf(instanceLoads);
        waitingRequests = List.copyOf(waitingRequests);
    }

    /**
     * What the workspaces with recent requests have used at an entry.
     *
     * @param entriesSeen number of entries that it has heard of itself and that may exist, itself included; 0 if it
     *     does not say
     * @param leaving whether it is about to end
     * @param uses one element for each workspace with recent requests
     */
    public record AllotmentReport(int entriesSeen, boolean leaving, List<AllotmentUse> uses) {

        /** The report of an entry without workspaces. */
        public static final AllotmentReport EMPTY = new AllotmentReport(0, false, List.of());

        /** Copies the list. */
        public AllotmentReport {
            uses = List.copyOf(uses);
        }
    }

    /**
     * Counts of one workspace since the entry started, or since the workspace was forgotten for want of requests.
     *
     * @param workspace name of the workspace
     * @param period changes when the counts started anew
     * @param admitted units of admitted requests, less those given back
     * @param offered units of all requests, admitted or not
     */
    public record AllotmentUse(String workspace, int period, long admitted, long offered) {}

    /**
     * Load that an instance reported with a response.
     *
     * @param instance identifier of the instance
     * @param running number of running requests
     * @param waiting number of waiting requests
     * @param slots number of requests that the instance runs concurrently
     * @param workPercent how long work takes there, in percent of the usual time; 0 if the instance does not report it
     * @param ageMillis time since the response arrived at the entry that reports it, in milliseconds
     */
    public record InstanceLoad(String instance, int running, int waiting, int slots, int workPercent, long ageMillis) {}

    /**
     * Requests of one service and priority that wait for memory.
     *
     * @param service name of the service
     * @param priority priority of the requests, 0 is the highest
     * @param inTime number of requests that can still meet their target
     * @param late number of requests that can't
     */
    public record WaitingRequests(String service, int priority, int inTime, int late) {}
}
