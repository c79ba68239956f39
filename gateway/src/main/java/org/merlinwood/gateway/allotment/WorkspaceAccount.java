package org.merlinwood.gateway.allotment;

import org.merlinwood.gateway.decision.EntryReport.AllotmentUse;
import org.merlinwood.gateway.workspace.Allotment;

/**
 * The counts of one workspace at this entry, what the other entries report of it, and the bucket that follows from
 * both. Confined to the event loop.
 */
final class WorkspaceAccount {

    /** Time constant of the offered units: short, so that a sudden increase is paced within two status intervals. */
    private static final double OFFERED_TIME_CONSTANT_MILLIS = 1_000;

    /** Time constant of the units that other entries may not have heard of yet. */
    private static final double UNREPORTED_TIME_CONSTANT_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String workspace;
    private final UsageWindow used;
    private final TokenBucket bucket;
    private final long createdMillis;
    private final DecayingSum ownOffered = new DecayingSum(OFFERED_TIME_CONSTANT_MILLIS);
    private final DecayingSum ownAdmitted = new DecayingSum(UNREPORTED_TIME_CONSTANT_MILLIS);
    private final DecayingSum peersOffered = new DecayingSum(OFFERED_TIME_CONSTANT_MILLIS);
    private final DecayingSum peersAdmitted = new DecayingSum(OFFERED_TIME_CONSTANT_MILLIS);

    private long admitted;
    private long offered;

    /** Tells apart the sums of this entry before and after it was without requests. */
    private int period;

    /** Whether this entry had requests recently. */
    private boolean requested;

    private long lastRequestMillis;
    private long lastUseMillis;

    /** Part of the next request that the pace allows already, from 0 to 1. */
    private double credit;

    /** Rate offered to this entry as it was reported last, and before that, in units per millisecond. */
    private double reportedOffered;

    private double reportedOfferedBefore;

    /**
     * Creates an account without uses.
     *
     * @param workspace name of the workspace
     * @param windowMillis length of the sliding window, in milliseconds
     * @param credit first credit, from 0 to 1; differs between entries, so that they don't admit all at once
     * @param emptyMillis monotonic time at which the bucket was empty, in milliseconds
     * @param nowMillis monotonic time, in milliseconds
     */
    WorkspaceAccount(String workspace, long windowMillis, double credit, long emptyMillis, long nowMillis) {
        this.workspace = workspace;
        this.used = new UsageWindow(windowMillis);
        this.credit = credit;
        this.bucket = new TokenBucket(emptyMillis);
        this.createdMillis = nowMillis;
        this.lastUseMillis = nowMillis;
    }

    /**
     * Returns the bucket, filled up to now. Before the first request it is not known how fast it fills. Counts what the
     * unreachable entries may use in the meantime as used.
     */
    TokenBucket bucket(Allotment allotment, EntryCounts.Shares shares, long nowMillis) {
        if (bucket.isFilling()) {
            long sinceMillis = bucket.filledMillis();
            bucket.fill(allotment, shares.reachable(), nowMillis);
            double absentUnits =
                    allotment.ratePerSecond() * shares.absent() * (nowMillis - sinceMillis) / MILLIS_PER_SECOND;
            used.add(absentUnits, nowMillis, nowMillis);
        } else {
            bucket.begin(allotment, shares.reachable(), createdMillis, used, nowMillis);
        }
        return bucket;
    }

    /** Records a request. The number of the period is used if this entry had no requests recently. */
    void offer(long units, int nextPeriod, long nowMillis) {
        if (!requested) {
            period = nextPeriod;
            requested = true;
        }
        lastRequestMillis = nowMillis;
        lastUseMillis = nowMillis;
        offered += units;
        ownOffered.add(units, nowMillis);
    }

    /** Counts a run; {@link #offer} has recorded its request. */
    Charge charge(long units, long nowMillis) {
        lastRequestMillis = nowMillis;
        lastUseMillis = nowMillis;
        admitted += units;
        ownAdmitted.add(units, nowMillis);
        use(units, nowMillis, nowMillis);
        return new Charge(workspace, units, period, nowMillis);
    }

    void giveBack(Charge charge, long nowMillis) {
        if (requested && charge.period() == period && charge.units() <= admitted) {
            admitted -= charge.units();
            ownAdmitted.add(-charge.units(), nowMillis);
            use(-charge.units(), charge.chargedMillis(), nowMillis);
        }
    }

    private void use(long units, long atMillis, long nowMillis) {
        used.add((double) units, atMillis, nowMillis);
        if (bucket.isFilling()) {
            bucket.use(units);
        }
    }

    /** Counts what a peer has used since its report before. */
    void onPeerUse(PeerUse.Difference difference, long nowMillis) {
        lastUseMillis = nowMillis;
        peersAdmitted.add(difference.admitted(), nowMillis);
        peersOffered.add(difference.offered(), nowMillis);
        use(difference.admitted(), nowMillis, nowMillis);
    }

    /** Deducts what a peer that fell silent has probably admitted since its last report. */
    void onPeerLost(long units, long nowMillis) {
        use(units, nowMillis, nowMillis);
    }

    String workspace() {
        return workspace;
    }

    /** Returns the sums for a status, and records the demand that the others know from then on. */
    AllotmentUse report(long nowMillis) {
        reportedOfferedBefore = reportedOffered;
        reportedOffered = ownOffered.rate(nowMillis);
        return new AllotmentUse(workspace, period, admitted, offered);
    }

    boolean isReported() {
        return requested;
    }

    /** Ends the period of this entry if it had no request for a time: the next one begins a new period. */
    void endOwnPeriodAfter(long idleMillis, long nowMillis) {
        if (requested && nowMillis - lastRequestMillis > idleMillis) {
            requested = false;
            admitted = 0;
            offered = 0;
        }
    }

    /** Returns whether no entry has used the workspace for longer than a time in milliseconds. */
    boolean isIdle(long idleMillis, long nowMillis) {
        return nowMillis - lastUseMillis > idleMillis;
    }

    /** Returns the state for the dump. */
    AllotmentLedger.WorkspaceState state(long nowMillis) {
        return new AllotmentLedger.WorkspaceState(
                workspace,
                Math.round(used.sum(nowMillis)),
                Math.round(offeredRate(nowMillis) * MILLIS_PER_SECOND),
                admitted,
                Math.round(bucket.level()));
    }

    /** Returns the units used in the window, as far as this entry has heard. */
    double usedInWindow(long nowMillis) {
        return used.sum(nowMillis);
    }

    /** Estimates the units that the peers have admitted since their last reports. */
    double estimateUnheard(double meanAgeMillis, long nowMillis) {
        return peersAdmitted.rate(nowMillis) * meanAgeMillis;
    }

    /** Returns the units that this entry has admitted and others may not have heard of. */
    double unreported(long nowMillis) {
        return ownAdmitted.value(nowMillis);
    }

    /** Returns the rate of all offered units, in units per millisecond. */
    double offeredRate(long nowMillis) {
        return ownOffered.rate(nowMillis) + peersOffered.rate(nowMillis);
    }

    /**
     * Returns the part of the demand that reaches this entry, as the others know it: the rate before the last report,
     * so that the parts of entries whose demand begins at the same time don't add up to more than the whole.
     */
    double partOfDemand(long nowMillis) {
        double own = Math.min(reportedOfferedBefore, reportedOffered);
        return own == 0 ? 0 : own / (own + peersOffered.rate(nowMillis));
    }

    /** Adds a part of a request to the credit; returns whether that completes one, which is then spent. */
    boolean pace(double part) {
        credit += part;
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }
}
