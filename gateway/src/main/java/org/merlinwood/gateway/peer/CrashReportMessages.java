package org.merlinwood.gateway.peer;

import java.util.List;
import java.util.Set;
import org.merlinwood.gateway.crash.CrashReport;
import org.merlinwood.wire.BegunPart;
import org.merlinwood.wire.EntryStatus;
import org.merlinwood.wire.InstanceCrash;
import org.merlinwood.wire.PartBlock;
import org.merlinwood.wire.SuspectRequest;

/** Converts the crash report within the status of an entry to wire messages and back. Stateless. */
final class CrashReportMessages {

    private CrashReportMessages() {}

    static void add(CrashReport report, EntryStatus.Builder status) {
        report.crashes().forEach(crash -> status.addCrashes(crash(crash)));
        report.begunParts()
                .forEach(begun -> status.addBegunParts(
                        BegunPart.newBuilder().setPart(begun.part()).setAgeMillis(unsigned(begun.ageMillis()))));
        report.blocks()
                .forEach(block -> status.addPartBlocks(PartBlock.newBuilder()
                        .addAllParts(block.parts())
                        .setLastCrashAgeMillis(unsigned(block.lastCrashAgeMillis()))
                        .setCount(block.count())));
    }

    static CrashReport read(EntryStatus status) {
        return new CrashReport(
                status.getCrashesList().stream().map(CrashReportMessages::crash).toList(),
                status.getBegunPartsList().stream()
                        .map(begun -> new CrashReport.BegunPart(
                                begun.getPart(), Integer.toUnsignedLong(begun.getAgeMillis())))
                        .toList(),
                status.getPartBlocksList().stream()
                        .filter(block -> block.getPartsCount() > 0)
                        .map(CrashReportMessages::block)
                        .toList());
    }

    private static InstanceCrash.Builder crash(CrashReport.Crash crash) {
        List<SuspectRequest> suspects = crash.suspects().stream()
                .map(parts -> SuspectRequest.newBuilder().addAllParts(parts).build())
                .toList();
        return InstanceCrash.newBuilder()
                .setInstance(crash.instance())
                .setStartedUnixMillis(crash.startedUnixMillis())
                .setAgeMillis(unsigned(crash.ageMillis()))
                .setSuspectAgeMillis(unsigned(crash.suspectAgeMillis()))
                .addAllSuspects(suspects);
    }

    private static CrashReport.Crash crash(InstanceCrash wire) {
        return new CrashReport.Crash(
                wire.getInstance(),
                wire.getStartedUnixMillis(),
                Integer.toUnsignedLong(wire.getAgeMillis()),
                Integer.toUnsignedLong(wire.getSuspectAgeMillis()),
                wire.getSuspectsList().stream()
                        .map(suspect -> Set.copyOf(suspect.getPartsList()))
                        .toList());
    }

    private static CrashReport.Block block(PartBlock wire) {
        return new CrashReport.Block(
                Set.copyOf(wire.getPartsList()),
                Integer.toUnsignedLong(wire.getLastCrashAgeMillis()),
                Math.max(1, wire.getCount()));
    }

    /** Converts a time to an unsigned 32-bit integer; longer times become the longest one, 49 days. */
    private static int unsigned(long millis) {
        return (int) Math.clamp(millis, 0, 0xFFFF_FFFFL);
    }
}
