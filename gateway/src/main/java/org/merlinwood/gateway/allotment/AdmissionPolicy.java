package org.merlinwood.gateway.allotment;

import java.util.Optional;
import org.merlinwood.gateway.allotment.AllotmentDecision.Reason;

/** Decides whether a request may be sent, and how long it would have to wait. Stateless. */
final class AdmissionPolicy {

    /** Part of the bound that is planned for: the rest covers further runs of requests. */
    private static final double PLANNED_BOUND_RATIO = 0.97;

    /** Time in which the content of the bucket may be used beside the rate, in milliseconds. */
    private static final double MINIMUM_HORIZON_MILLIS = 1_000;

    /** The horizon as a multiple of the age of reports, so that the others hear of a use within it. */
    private static final double HORIZON_AGES = 3;

    /** Part of a request up to which earlier ones count as known to the other entries. */
    private static final double FORGOTTEN_RATIO = 0.2;

    /**
     * Part of the room of the window that an entry may use unheard, as a multiple of its part. Above 1, since not all
     * entries have a burst of requests at the same time.
     */
    private static final double PART_FACTOR = 2;

    /** The same for a second request that follows a first one. Higher, since one may be larger than a part. */
    private static final double SECOND_REQUEST_PART_FACTOR = 4;

    /** Part of a request up to which the earlier ones are a single one of about its size. */
    private static final double SINGLE_REQUEST_RATIO = 1.5;

    private AdmissionPolicy() {}

    /**
     * What is known when a request arrives.
     *
     * @param units what the request counts
     * @param account the account of its workspace
     * @param bucket its bucket, filled up to now
     * @param overdraw units by which it may be overdrawn
     * @param bound units that may be used in a window
     * @param equalPart part of this entry if all reachable entries have the same, from 0 to 1
     * @param meanAgeMillis mean age of the reports of other entries, in milliseconds
     * @param nowMillis monotonic time, in milliseconds
     */
    record Situation(
            long units,
            WorkspaceAccount account,
            TokenBucket bucket,
            double overdraw,
            double bound,
            double equalPart,
            double meanAgeMillis,
            long nowMillis) {

        /** Returns the level, less what the other entries have probably used since their reports. */
        double level() {
            return bucket.level() - account.estimateUnheard(meanAgeMillis, nowMillis);
        }
    }

    /**
     * A refusal.
     *
     * @param reason the reason
     * @param waitMillis time until the request could be admitted, in milliseconds
     */
    record Refusal(Reason reason, double waitMillis) {}

    /** Decides; returns empty if the request is admitted. */
    static Optional<Refusal> decide(Situation situation) {
        return checkLevel(situation).or(() -> checkWindow(situation)).or(() -> checkPace(situation));
    }

    private static Optional<Refusal> checkLevel(Situation situation) {
        // A request that is larger than the burst needs a full bucket.
        double needed = Math.min((double) situation.units(), situation.bucket().capacity());
        double missing = needed - situation.level() - situation.overdraw();
        return missing <= 0
                ? Optional.empty()
                : Optional.of(
                        new Refusal(Reason.LEVEL, missing / situation.bucket().unitsPerMilli()));
    }

    /** Keeps room in the window for what other entries admit before they hear of this request. */
    private static Optional<Refusal> checkWindow(Situation situation) {
        WorkspaceAccount account = situation.account();
        double room = PLANNED_BOUND_RATIO * situation.bound()
                - account.usedInWindow(situation.nowMillis())
                - account.estimateUnheard(situation.meanAgeMillis(), situation.nowMillis());
        double unreported = account.unreported(situation.nowMillis());
        boolean fits;
        if (unreported <= FORGOTTEN_RATIO * situation.units()) {
            fits = situation.units() <= room;
        } else {
            boolean second = unreported <= SINGLE_REQUEST_RATIO * situation.units();
            double factor = second ? SECOND_REQUEST_PART_FACTOR : PART_FACTOR;
            double part = Math.max(factor * situation.equalPart(), account.partOfDemand(situation.nowMillis()));
            fits = unreported + situation.units() <= Math.min(1, part) * room;
        }
        return fits
                ? Optional.empty()
                : Optional.of(new Refusal(
                        Reason.WINDOW, situation.units() / situation.bucket().unitsPerMilli()));
    }

    /**
     * Lets requests pass freely while the workspace offers no more than its rate and what the bucket holds. If it
     * offers more, each entry admits the same part of its requests, so that each gets a part in proportion to its
     * demand.
     */
    private static Optional<Refusal> checkPace(Situation situation) {
        double horizonMillis = Math.max(MINIMUM_HORIZON_MILLIS, HORIZON_AGES * situation.meanAgeMillis());
        double affordable = situation.bucket().unitsPerMilli()
                + Math.max(0, situation.level() + situation.overdraw()) / horizonMillis;
        double offered = situation.account().offeredRate(situation.nowMillis());
        if (offered <= affordable || situation.account().pace(affordable / offered)) {
            return Optional.empty();
        }
        return Optional.of(new Refusal(
                Reason.PACE, situation.units() / situation.bucket().unitsPerMilli() * (offered / affordable)));
    }
}
