package org.merlinwood.gateway.peer;

import org.merlinwood.gateway.decision.EntryReport;
import org.merlinwood.wire.AllotmentUse;
import org.merlinwood.wire.EntryStatus;
import org.merlinwood.wire.InstanceLoad;
import org.merlinwood.wire.WaitingRequests;

/** Converts the reports in status messages of entries. Stateless. */
final class EntryReportMessages {

    private EntryReportMessages() {}

    static void add(EntryReport report, EntryStatus.Builder builder) {
        builder.setIncarnation(report.incarnation())
                .setConfigurationVersion(report.configurationVersion())
                .setEntriesSeen(report.allotments().entriesSeen())
                .setLeavingSoon(report.allotments().leaving());
        report.allotments()
                .uses()
                .forEach(use -> builder.addAllotmentUses(AllotmentUse.newBuilder()
                        .setWorkspace(use.workspace())
                        .setPeriod(use.period())
                        .setAdmitted(use.admitted())
                        .setOffered(use.offered())));
        report.instanceLoads()
                .forEach(load -> builder.addInstanceLoads(InstanceLoad.newBuilder()
                        .setInstance(load.instance())
                        .setRunning(load.running())
                        .setWaiting(load.waiting())
                        .setSlots(load.slots())
                        .setWorkPercent(load.workPercent())
                        .setAgeMillis((int) Math.min(Integer.MAX_VALUE, load.ageMillis()))));
        report.waitingRequests()
                .forEach(waiting -> builder.addWaitingRequests(WaitingRequests.newBuilder()
                        .setService(waiting.service())
                        .setPriority(waiting.priority())
                        .setInTime(waiting.inTime())
                        .setLate(waiting.late())));
    }

    static EntryReport read(EntryStatus wire) {
        return new EntryReport(
                wire.getIncarnation(),
                wire.getConfigurationVersion(),
                allotments(wire),
                wire.getInstanceLoadsList().stream()
                        .map(load -> new EntryReport.InstanceLoad(
                                load.getInstance(),
                                load.getRunning(),
                                load.getWaiting(),
                                load.getSlots(),
                                load.getWorkPercent(),
                                load.getAgeMillis()))
                        .toList(),
                wire.getWaitingRequestsList().stream()
                        .map(waiting -> new EntryReport.WaitingRequests(
                                waiting.getService(), waiting.getPriority(), waiting.getInTime(), waiting.getLate()))
                        .toList());
    }

    private static EntryReport.AllotmentReport allotments(EntryStatus wire) {
        return new EntryReport.AllotmentReport(
                wire.getEntriesSeen(),
                wire.getLeavingSoon(),
                wire.getAllotmentUsesList().stream()
                        .map(use -> new EntryReport.AllotmentUse(
                                use.getWorkspace(), use.getPeriod(), use.getAdmitted(), use.getOffered()))
                        .toList());
    }
}
