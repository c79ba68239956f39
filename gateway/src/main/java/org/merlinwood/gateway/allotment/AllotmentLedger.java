package org.merlinwood.gateway.allotment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.allotment.AllotmentDecision.Inputs;
import org.merlinwood.gateway.decision.EntryReport.AllotmentReport;
import org.merlinwood.gateway.decision.EntryReport.AllotmentUse;
import org.merlinwood.gateway.workspace.Allotment;

/**
 * Decides which requests of the workspaces may be sent, so that all entries together respect their allotments. Each
 * entry counts what it admits, tells the others in its status messages, and deducts what they tell from a bucket of its
 * own. Confined to the event loop.
 */
public final class AllotmentLedger {

    /** Shortest and longest delay that a refused caller is told, in milliseconds. */
    private static final double MINIMUM_RETRY_MILLIS = 50;

    private static final double MAXIMUM_RETRY_MILLIS = 30_000;

    /** Part of a delay that is added at most, so that refused callers don't come back all at once. */
    private static final double JITTER_RATIO = 0.25;

    /** Number of different periods of activity: enough to tell one from those before it, and short in a message. */
    private static final int PERIODS = 1 << 12;

    private final MillisClock clock;
    private final AllotmentLimits limits;
    private final SplittableRandom random;
    private final EntryCounts counts;
    private final long startedMillis;
    private final Map<String, WorkspaceAccount> accounts = new HashMap<>();
    private final Map<String, PeerReports> peers = new HashMap<>();
    private int lastPeriod;

    /**
     * Creates the ledger of an entry that is starting now.
     *
     * @param seed differs between entries
     * @param clock monotonic time
     * @param limits how far allotments may be exceeded
     */
    public AllotmentLedger(long seed, MillisClock clock, AllotmentLimits limits) {
        this.clock = clock;
        this.limits = limits;
        this.random = new SplittableRandom(seed);
        this.counts = new EntryCounts(clock, limits.separationFactor());
        this.startedMillis = clock.monotonicMillis();
        this.lastPeriod = random.nextInt(PERIODS);
    }

    /**
     * Decides on a request and counts it if it is admitted.
     *
     * @param workspace name of the workspace
     * @param allotment its allotment in force, with a rate above 0
     * @param units what the request counts, at least 0
     * @return the decision
     */
    public AllotmentDecision admit(String workspace, Allotment allotment, long units) {
        long nowMillis = clock.monotonicMillis();
        EntryCounts.Shares shares = counts.shares();
        double share = shares.reachable();
        WorkspaceAccount account = account(workspace, startedMillis, nowMillis);
        account.offer(units, account.isReported() ? lastPeriod : nextPeriod(), nowMillis);
        TokenBucket bucket = account.bucket(allotment, shares, nowMillis);
        bucket.raiseTo(-limits.headroom(allotment));
        AdmissionPolicy.Situation situation = new AdmissionPolicy.Situation(
                units,
                account,
                bucket,
                isOverdrawAllowed(nowMillis) ? limits.overdraw(allotment) * share : 0,
                limits.bound(allotment) - shares.absent() * (allotment.burst() + limits.overdraw(allotment)),
                1.0 / counts.reachable(),
                counts.meanAgeMillis(),
                nowMillis);
        Inputs inputs = new Inputs(share, Math.round(counts.meanAgeMillis()), Math.round(situation.level()));
        Optional<AdmissionPolicy.Refusal> refusal = AdmissionPolicy.decide(situation);
        return refusal.<AllotmentDecision>map(refused ->
                        new AllotmentDecision.Refused(withJitter(refused.waitMillis()), refused.reason(), inputs))
                .orElseGet(() -> new AllotmentDecision.Admitted(account.charge(units, nowMillis), inputs));
    }

    /**
     * Counts a further run of an admitted request.
     *
     * @param charge that of its first run
     * @return the additional charge
     */
    public Charge chargeAgain(Charge charge) {
        long nowMillis = clock.monotonicMillis();
        WorkspaceAccount account = account(charge.workspace(), startedMillis, nowMillis);
        account.offer(0, account.isReported() ? lastPeriod : nextPeriod(), nowMillis);
        return account.charge(charge.units(), nowMillis);
    }

    /**
     * Gives back the units of a run that did not take place. Does nothing if the workspace had no requests since for so
     * long that its counts are gone.
     *
     * @param charge the charge, given back once at most
     */
    public void giveBack(Charge charge) {
        Optional.ofNullable(accounts.get(charge.workspace()))
                .ifPresent(account -> account.giveBack(charge, clock.monotonicMillis()));
    }

    /**
     * Returns the sums to send to the other entries. Call once for each status.
     *
     * @param leaving whether this entry is about to end, so that its part of the rates falls to the others at once
     * @return the sums of each workspace with recent requests, and the number of entries
     */
    public AllotmentReport report(boolean leaving) {
        long nowMillis = clock.monotonicMillis();
        accounts.values().forEach(account -> account.endOwnPeriodAfter(idleMillis(), nowMillis));
        accounts.values().removeIf(account -> account.isIdle(idleMillis(), nowMillis));
        List<AllotmentUse> uses = accounts.values().stream()
                .filter(WorkspaceAccount::isReported)
                .map(account -> account.report(nowMillis))
                .toList();
        return new AllotmentReport(counts.seen(), leaving, uses);
    }

    /**
     * Takes over the report of another entry.
     *
     * @param peer address of the entry
     * @param incarnation differs between two lives of the entry
     * @param report its report; empty from an entry without workspaces
     */
    public void onReport(String peer, long incarnation, AllotmentReport report) {
        long nowMillis = clock.monotonicMillis();
        boolean first = !counts.isReachable(peer);
        PeerReports reports = first ? null : peers.get(peer);
        if (reports == null || !reports.isOf(incarnation)) {
            reports = new PeerReports(incarnation, nowMillis);
            peers.put(peer, reports);
        }
        int number = reports.begin();
        int workspaces = 0;
        for (AllotmentUse use : report.uses()) {
            workspaces++;
            onUse(reports, use, number, first, nowMillis);
        }
        reports.end(workspaces, nowMillis);
        counts.onReport(peer, report.entriesSeen(), report.leaving());
    }

    private void onUse(PeerReports reports, AllotmentUse use, int number, boolean first, long nowMillis) {
        // What was used before the first report of a peer is not known, so the bucket counts as empty.
        WorkspaceAccount account = account(use.workspace(), first ? nowMillis : startedMillis, nowMillis);
        PeerUse known = reports.use(account.workspace());
        if (first) {
            known.baseline(use, number);
            account.onPeerUse(PeerUse.Difference.NONE, nowMillis);
        } else {
            account.onPeerUse(known.update(use, number, reports.sinceLastMillis(nowMillis)), nowMillis);
        }
    }

    /**
     * Called when another entry has fallen silent.
     *
     * @param peer address of the entry
     */
    public void onPeerLost(String peer) {
        long nowMillis = clock.monotonicMillis();
        long silentMillis = counts.onLost(peer);
        Optional.ofNullable(peers.remove(peer))
                .ifPresent(reports -> reports.estimateSince(
                        silentMillis,
                        (workspace, units) -> Optional.ofNullable(accounts.get(workspace))
                                .ifPresent(account -> account.onPeerLost(units, nowMillis))));
    }

    /**
     * Sets how many entries are known. Call before each status.
     *
     * @param known number of known addresses of entries, reachable or not, this one included
     * @param memberListReceived whether another entry has sent its list of members
     */
    public void entryCounts(int known, boolean memberListReceived) {
        counts.known(known, memberListReceived);
    }

    /**
     * Returns the part of the rates that this entry and the reachable ones share.
     *
     * @return from 0 to 1; 1 while all entries are reachable
     */
    public double share() {
        return counts.shares().reachable();
    }

    /**
     * Returns the number of workspaces with recent requests at any entry.
     *
     * @return number of workspaces
     */
    public int activeWorkspaces() {
        return accounts.size();
    }

    /**
     * Returns the mean age of what the other entries reported.
     *
     * @return the age, in milliseconds; 0 without other entries
     */
    public long reportAgeMillis() {
        return Math.round(counts.meanAgeMillis());
    }

    /**
     * Returns the number of entries that report, this one included.
     *
     * @return number of entries
     */
    public int reachableEntries() {
        return counts.reachable();
    }

    /**
     * Returns the number of entries that may exist, this one included.
     *
     * @return number of entries
     */
    public int possibleEntries() {
        return counts.possible();
    }

    /**
     * Returns what the workspaces with recent requests use, as far as this entry has heard.
     *
     * @return one element for each workspace, ordered by name
     */
    public List<WorkspaceState> workspaceStates() {
        long nowMillis = clock.monotonicMillis();
        return accounts.values().stream()
                .map(account -> account.state(nowMillis))
                .sorted(Comparator.comparing(WorkspaceState::name))
                .toList();
    }

    /**
     * What one workspace uses.
     *
     * @param name name of the workspace
     * @param usedInWindow units used within the window at all reachable entries, and kept for the unreachable ones
     * @param offeredPerSecond units that its requests offer to all reachable entries, per second
     * @param admittedHere units admitted at this entry in the present period of activity
     * @param level units in the bucket when it was used last, below 0 if it is overdrawn
     */
    public record WorkspaceState(
            String name, long usedInWindow, long offeredPerSecond, long admittedHere, long level) {}

    /** An entry that has just started does not know whether the bucket was overdrawn before. */
    private boolean isOverdrawAllowed(long nowMillis) {
        return nowMillis - startedMillis >= limits.windowMillis();
    }

    /** Time without requests after which a workspace is forgotten: all of its uses are out of the window then. */
    private long idleMillis() {
        return 2 * limits.windowMillis();
    }

    private WorkspaceAccount account(String workspace, long emptyMillis, long nowMillis) {
        WorkspaceAccount known = accounts.get(workspace);
        if (known != null) {
            return known;
        }
        WorkspaceAccount created =
                new WorkspaceAccount(workspace, limits.windowMillis(), random.nextDouble(), emptyMillis, nowMillis);
        accounts.put(workspace, created);
        return created;
    }

    private int nextPeriod() {
        lastPeriod = (lastPeriod + 1) % PERIODS;
        return lastPeriod;
    }

    private long withJitter(double waitMillis) {
        double wait = Math.clamp(waitMillis, MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS);
        return Math.round(wait * (1 + random.nextDouble(JITTER_RATIO)));
    }
}
