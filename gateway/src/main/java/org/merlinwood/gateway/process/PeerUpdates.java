package org.merlinwood.gateway.process;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.merlinwood.gateway.crash.CrashCausingParts;
import org.merlinwood.gateway.crash.CrashHistory;
import org.merlinwood.gateway.decision.DemandMeter;
import org.merlinwood.gateway.decision.EntryStatus;
import org.merlinwood.gateway.decision.HeldPrompts;
import org.merlinwood.gateway.decision.InstancePool;
import org.merlinwood.gateway.decision.OriginPeers;
import org.merlinwood.gateway.decision.StreamOrigin;
import org.merlinwood.gateway.decision.StreamOrigins;
import org.merlinwood.gateway.decision.VersionHistory;
import org.merlinwood.gateway.follow.StoreChange;
import org.merlinwood.gateway.follow.StoreFollower;
import org.merlinwood.gateway.follow.StorePosition;
import org.merlinwood.gateway.order.StageOrders;
import org.merlinwood.gateway.peer.PeerListener;
import org.merlinwood.operation.log.DecisionLog;

/**
 * Connects the sessions with other entries to the state of this entry: composes the status that it sends, and applies
 * theirs. Issues orders, if any are due, before each status. Confined to the event loop.
 */
final class PeerUpdates implements PeerListener {

    private final InstancePool pool;
    private final InstanceNoticeRecorder noticeRecorder;
    private final StoreFollower follower;
    private final CrashHistory crashHistory;
    private final CrashCausingParts crashCausingParts;
    private final StreamOrigins origins;
    private final HeldPrompts heldPrompts;
    private final VersionHistory versionHistory;
    private final DemandMeter demandMeter;
    private final StageOrders orders;
    private final EntryReports reports;
    private final IntSupplier knownEntries;
    private final BooleanSupplier mayIssueOrders;
    private final DecisionLog log;

    /**
     * Creates the listener of one entry.
     *
     * @param pool load of the instances, own and of other entries
     * @param noticeRecorder records which instances other entries report as leaving
     * @param follower position and changes of the configuration store
     * @param crashHistory requests that lost instances
     * @param crashCausingParts parts of prompts that crash instances
     * @param origins software versions that began streams
     * @param heldPrompts software versions of the instances that hold prompts
     * @param versionHistory software versions that each service has had
     * @param demandMeter demand of the callers of this entry
     * @param orders orders to change the stage of an instance
     * @param reports report of this entry in each status
     * @param knownEntries returns the number of other known entries
     * @param mayIssueOrders returns whether this entry may issue orders, if it is the one that leads
     * @param log receives one line for each peer that falls silent and for each relay of changes
     */
    PeerUpdates(
            InstancePool pool,
            InstanceNoticeRecorder noticeRecorder,
            StoreFollower follower,
            CrashHistory crashHistory,
            CrashCausingParts crashCausingParts,
            StreamOrigins origins,
            HeldPrompts heldPrompts,
            VersionHistory versionHistory,
            DemandMeter demandMeter,
            StageOrders orders,
            EntryReports reports,
            IntSupplier knownEntries,
            BooleanSupplier mayIssueOrders,
            DecisionLog log) {
        this.pool = pool;
        this.noticeRecorder = noticeRecorder;
        this.follower = follower;
        this.crashHistory = crashHistory;
        this.crashCausingParts = crashCausingParts;
        this.origins = origins;
        this.heldPrompts = heldPrompts;
        this.versionHistory = versionHistory;
        this.demandMeter = demandMeter;
        this.orders = orders;
        this.reports = reports;
        this.knownEntries = knownEntries;
        this.mayIssueOrders = mayIssueOrders;
        this.log = log;
    }

    @Override
    public EntryStatus status(String address, List<String> members) {
        pool.entryCount(knownEntries.getAsInt() + 1);
        if (mayIssueOrders.getAsBoolean()) {
            orders.issueIfDue(knownEntries.getAsInt(), follower.position().fencingTerm());
        }
        return new EntryStatus(
                address,
                members,
                follower.position(),
                pool.sharedWork().own(),
                crashHistory.drainUnsentLosses(),
                demandMeter.demands(),
                orders.switching(),
                orders.highestFencingToken(),
                pool.notices().recentlyLeaving(),
                crashCausingParts.report(),
                reports.own());
    }

    @Override
    public void onStatus(EntryStatus status) {
        pool.sharedWork().updatePeer(status);
        reports.onStatus(status);
        orders.onStatus(status);
        reports.onStatus(status);
        status.leaving().forEach(instance -> noticeRecorder.onPeerNotice(status.address(), instance));
        follower.confirmation().onVersionElsewhere(status.report().configurationVersion());
        crashCausingParts.onPeerReport(status.address(), status.crashReport());
        status.lostRuns().forEach(crashHistory::recordPeerLoss);
    }

    @Override
    public void onWork(String address, List<EntryStatus.InstanceWork> work) {
        pool.sharedWork().updatePeer(address, work);
    }

    @Override
    public void onLost(String address) {
        pool.sharedWork().removePeer(address);
        reports.onLost(address);
        orders.removePeer(address);
        reports.onLost(address);
        log.line("peer silent").with("peer", address).write();
    }

    @Override
    public boolean isBehind(EntryStatus status) {
        return follower.isBehind(status.storePosition());
    }

    @Override
    public StorePosition storePosition() {
        return follower.position();
    }

    @Override
    public List<StoreChange> changesAfter(StorePosition after) {
        return follower.changesAfter(after);
    }

    @Override
    public void onChanges(List<StoreChange> changes, StorePosition position) {
        log.line("changes relayed")
                .with("changes", changes.size())
                .with("from", follower.position().toString())
                .with("to", position.toString())
                .write();
        follower.applyRelayed(changes, position);
    }

    @Override
    public List<StreamOrigin> ownOrigins() {
        return origins.own();
    }

    @Override
    public void onOrigins(List<StreamOrigin> told) {
        told.forEach(origins::recordTold);
    }

    @Override
    public OriginPeers.Answers answer(OriginPeers.Question question) {
        return new OriginPeers.Answers(
                origins.versionOf(question.attempt()),
                versionHistory
                        .soleVersionWithin(question.service(), question.streamMillis())
                        .map(Set::of)
                        .orElse(Set.of()),
                heldPrompts.versionsHolding(question.heldPart()));
    }
}
