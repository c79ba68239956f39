package org.merlinwood.gateway.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.gateway.crash.LostRun;
import org.merlinwood.gateway.crash.Suspicion;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.MemoryForecast;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.StoreChanges;
import org.merlinwood.wire.StoreChangesRequest;
import org.merlinwood.wire.StoreKey;
import org.merlinwood.wire.WorkUpdate;

/** Converts entry status and store changes to frames and back. Stateless. */
final class PeerMessages {

    private PeerMessages() {}

    static Frame.Builder status(EntryStatus status) {
        org.merlinwood.wire.EntryStatus.Builder builder = org.merlinwood.wire.EntryStatus.newBuilder()
                .setAddress(status.address())
                .addAllMembers(status.members())
                .setStoreRevision(status.storePosition().revision())
                .setStoreEra(status.storePosition().era())
                .addAllSwitching(status.switching())
                .setHighestFencingToken(status.highestFencingToken())
                .setKeepsStreamOrigins(true)
                .setTakesWorkUpdates(true);
        status.demands()
                .forEach(demand -> builder.addDemands(org.merlinwood.wire.ServiceDemand.newBuilder()
                        .setService(demand.service())
                        .setPromptTokens(demand.promptTokens())
                        .setRequestsWithoutCapacity(demand.requestsWithoutCapacity())));
        status.work().forEach(work -> builder.addWork(work(work)));
        status.lostRuns()
                .forEach(run -> builder.addLostRuns(org.merlinwood.wire.LostRun.newBuilder()
                        .setFingerprint(run.fingerprint())
                        .setInstance(run.instance())
                        .setWeaklySuspected(run.suspicion() == Suspicion.WEAK)));
        status.leaving()
                .forEach(instance -> builder.addLeaving(org.merlinwood.wire.LeavingInstance.newBuilder()
                        .setInstance(instance.instance())
                        .setStartedUnixMillis(instance.startedUnixMillis())));
        CrashReportMessages.add(status.crashReport(), builder);
        EntryReportMessages.add(status.report(), builder);
        return Frame.newBuilder().setEntryStatus(builder);
    }

    static EntryStatus status(org.merlinwood.wire.EntryStatus wire) {
        return new EntryStatus(
                wire.getAddress(),
                List.copyOf(wire.getMembersList()),
                new StorePosition(wire.getStoreEra(), wire.getStoreRevision()),
                wire.getWorkList().stream().map(PeerMessages::work).toList(),
                wire.getLostRunsList().stream()
                        .map(run -> new LostRun(
                                run.getFingerprint(),
                                run.getInstance(),
                                run.getWeaklySuspected() ? Suspicion.WEAK : Suspicion.STRONG))
                        .toList(),
                wire.getDemandsList().stream()
                        .map(demand -> new EntryStatus.ServiceDemand(
                                demand.getService(), demand.getPromptTokens(), demand.getRequestsWithoutCapacity()))
                        .toList(),
                List.copyOf(wire.getSwitchingList()),
                wire.getHighestFencingToken(),
                wire.getLeavingList().stream()
                        .map(instance -> new EntryStatus.LeavingInstance(
                                instance.getInstance(), instance.getStartedUnixMillis()))
                        .toList(),
                CrashReportMessages.read(wire),
                EntryReportMessages.read(wire));
    }

    static Frame.Builder workUpdate(String address, List<EntryStatus.InstanceWork> work) {
        WorkUpdate.Builder update = WorkUpdate.newBuilder().setAddress(address);
        work.forEach(atInstance -> update.addWork(work(atInstance)));
        return Frame.newBuilder().setWorkUpdate(update);
    }

    static List<EntryStatus.InstanceWork> work(WorkUpdate wire) {
        return wire.getWorkList().stream().map(PeerMessages::work).toList();
    }

    static Frame.Builder changesRequest(StorePosition after) {
        return Frame.newBuilder()
                .setStoreChangesRequest(StoreChangesRequest.newBuilder()
                        .setAfter(after.revision())
                        .setAfterEra(after.era()));
    }

    static StorePosition after(StoreChangesRequest wire) {
        return new StorePosition(wire.getAfterEra(), wire.getAfter());
    }

    static StorePosition position(StoreChanges wire) {
        return new StorePosition(wire.getEra(), wire.getRevision());
    }

    static Frame.Builder changes(List<StoreChange> changes, StorePosition position) {
        StoreChanges.Builder builder =
                StoreChanges.newBuilder().setRevision(position.revision()).setEra(position.era());
        changes.forEach(change -> builder.addKeys(StoreKey.newBuilder()
                .setKey(change.key())
                .setRevision(change.position().revision())
                .setEra(change.position().era())
                .setRemoved(change.value().isEmpty())
                .setValue(change.value().map(ByteString::copyFrom).orElse(ByteString.EMPTY))));
        return Frame.newBuilder().setStoreChanges(builder);
    }

    static List<StoreChange> changes(StoreChanges wire) {
        return wire.getKeysList().stream()
                .map(key -> new StoreChange(
                        key.getKey(),
                        new StorePosition(key.getEra(), key.getRevision()),
                        key.getRemoved()
                                ? Optional.empty()
                                : Optional.of(key.getValue().toByteArray())))
                .toList();
    }

    private static org.merlinwood.wire.InstanceWork.Builder work(EntryStatus.InstanceWork work) {
        org.merlinwood.wire.InstanceWork.Builder builder = org.merlinwood.wire.InstanceWork.newBuilder()
                .setInstance(work.instance())
                .setRunning(work.running())
                .setPromptTokens(work.promptTokens());
        work.generations()
                .forEach(generation -> builder.addOccupiedTokens(generation.occupiedTokens())
                        .addRemainingTokens(generation.remainingTokens()));
        return builder;
    }

    private static EntryStatus.InstanceWork work(org.merlinwood.wire.InstanceWork wire) {
        List<MemoryForecast.Growth> generations = new ArrayList<>();
        int count = Math.min(wire.getOccupiedTokensCount(), wire.getRemainingTokensCount());
        for (int index = 0; index < count; index++) {
            generations.add(new MemoryForecast.Growth(wire.getOccupiedTokens(index), wire.getRemainingTokens(index)));
        }
        return new EntryStatus.InstanceWork(wire.getInstance(), wire.getRunning(), wire.getPromptTokens(), generations);
    }
}
