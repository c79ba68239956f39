package org.merlinwood.gateway.decision;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.gateway.upstream.InstanceNotice;

/**
 * What instances have stated about themselves to this entry: that they leave, or until when they want no request from
 * it. Needs neither the configuration store nor other entries, so it holds also for an entry that is cut off; that an
 * instance leaves may also be learned from another entry.
 *
 * <p>That an instance leaves is about one start of it: a restarted instance, or another one at the same address, is not
 * bound by it, and a late response of a former start says nothing about the current one. What was learned while the
 * start was unknown holds for the start that is registered later. A start is forgotten once it can't be registered any
 * more, see {@link LeavingStarts}. A named time holds for the instance whatever its start, since it ends by itself and
 * the response may come before the registration of a new start. Confined to the event loop.
 */
public final class InstanceNotices {

    /** Upper bound of a named time, in milliseconds: beyond the life of any process, and sums don't overflow. */
    private static final long MAXIMUM_DECLINED_MILLIS = Long.MAX_VALUE / 2;

    /** Precision of the clock, in milliseconds. A time that began within one of its ticks ends within a later one. */
    private static final long CLOCK_TICK_MILLIS = 1;

    /** Time for which this entry reports that an instance leaves, in milliseconds: many status messages. */
    private static final long REPORT_MILLIS = 2_000;

    private final MillisClock clock;
    private final LeavingStarts leaving;

    /** End of the time that an instance named, by its identifier. */
    private final Map<String, Long> declinedUntilMillis = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     */
    public InstanceNotices(FleetState fleet, MillisClock clock) {
        this.clock = clock;
        this.leaving = new LeavingStarts(fleet, clock);
    }

    /**
     * Records a notice. A time that an instance names never shortens an earlier one.
     *
     * @param instance the instance, as it was registered when the request was sent
     * @param notice what its response states
     * @return true if the notice states more than what was known
     */
    public boolean record(UpstreamInstance instance, InstanceNotice notice) {
        boolean newlyLeaving =
                notice.leaving() && leaving.add(instance.identifier(), instance.startedUnixMillis(), true);
        boolean longer = notice.declinedMillis().isPresent()
                && extendDeclined(instance.identifier(), notice.declinedMillis().getAsLong());
        return newlyLeaving || longer;
    }

    /**
     * Records that an instance has stated to another entry that it leaves. It is not passed on to third entries.
     *
     * @param reported the instance, as that entry knows it
     * @return true if this was not known
     */
    public boolean recordFromPeer(EntryStatus.LeavingInstance reported) {
        return leaving.add(reported.instance(), reported.startedUnixMillis(), false);
    }

    /**
     * Returns the instances that have recently stated to this entry that they leave, to be sent to the other entries.
     *
     * @return the instances, in no particular order
     */
    public List<EntryStatus.LeavingInstance> recentlyLeaving() {
        return leaving.learnedFromInstancesWithin(REPORT_MILLIS);
    }

    private boolean extendDeclined(String identifier, long millis) {
        long now = clock.monotonicMillis();
        declinedUntilMillis.values().removeIf(until -> until <= now);
        long until = now + Math.min(millis, MAXIMUM_DECLINED_MILLIS) + CLOCK_TICK_MILLIS;
        long previous = declinedUntilMillis.getOrDefault(identifier, Long.MIN_VALUE);
        declinedUntilMillis.put(identifier, Math.max(previous, until));
        return until > previous;
    }

    /**
     * Forgets that an instance leaves if that was learned while its start was unknown, after its registration was
     * removed. If the start was known, a registration of the same start is of the same incarnation, which is still
     * leaving.
     *
     * @param instance the last registration
     */
    public void onRemoved(UpstreamInstance instance) {
        leaving.forgetUnknownStart(instance);
    }

    /**
     * Returns whether a request that has just arrived may be sent to an instance.
     *
     * @param instance the instance
     * @return false if it leaves or wants no request now
     */
    public boolean mayReceive(UpstreamInstance instance) {
        return !isLeaving(instance) && !isDeclining(instance);
    }

    /**
     * Returns whether an instance has stated that it leaves.
     *
     * @param instance the instance
     * @return true if this incarnation leaves
     */
    public boolean isLeaving(UpstreamInstance instance) {
        return leaving.contains(instance);
    }

    /**
     * Returns whether an instance wants no request from this entry now.
     *
     * @param instance the instance
     * @return true if the time that it named has not passed
     */
    public boolean isDeclining(UpstreamInstance instance) {
        return millisUntilAccepted(instance) > 0;
    }

    /**
     * Returns when the first of some instances that don't leave will accept requests again.
     *
     * @param instances the instances
     * @return milliseconds from now, 0 if one accepts them now; empty if all leave
     */
    public OptionalLong millisUntilAccepted(Collection<UpstreamInstance> instances) {
        return instances.stream()
                .filter(instance -> !isLeaving(instance))
                .mapToLong(this::millisUntilAccepted)
                .min();
    }

    /**
     * One start that is known to leave.
     *
     * @param instance identifier of the instance
     * @param startedUnixMillis its start, see {@link UpstreamInstance}
     * @param learnedMillisAgo time since this entry learned it, in milliseconds
     * @param fromInstance whether the instance itself stated it, otherwise another entry did
     * @param registered whether this start is registered now
     */
    public record Leaving(
            String instance, long startedUnixMillis, long learnedMillisAgo, boolean fromInstance, boolean registered) {}

    /**
     * One instance that wants no request from this entry now.
     *
     * @param instance identifier of the instance
     * @param acceptsInMillis time until it accepts requests again, in milliseconds, greater than 0
     */
    public record Declining(String instance, long acceptsInMillis) {}

    /**
     * Returns the starts that are known to leave.
     *
     * @return the starts by identifier, those that were registered within the last hour included
     */
    public List<Leaving> leaving() {
        return leaving.list();
    }

    /**
     * Returns the instances that want no request from this entry now.
     *
     * @return the instances by identifier
     */
    public List<Declining> declining() {
        long now = clock.monotonicMillis();
        return declinedUntilMillis.entrySet().stream()
                .filter(entry -> entry.getValue() > now)
                .map(entry -> new Declining(entry.getKey(), entry.getValue() - now))
                .sorted(Comparator.comparing(Declining::instance))
                .toList();
    }

    /**
     * Returns the number of incarnations that are known to leave.
     *
     * @return number, those that were registered within the last hour included
     */
    public int leavingCount() {
        return leaving.size();
    }

    /**
     * Returns the number of instances that want no request from this entry now.
     *
     * @return number of instances
     */
    public int decliningCount() {
        long now = clock.monotonicMillis();
        return (int) declinedUntilMillis.values().stream()
                .filter(until -> until > now)
                .count();
    }

    private long millisUntilAccepted(UpstreamInstance instance) {
        long now = clock.monotonicMillis();
        return Math.max(0, declinedUntilMillis.getOrDefault(instance.identifier(), now) - now);
    }
}
