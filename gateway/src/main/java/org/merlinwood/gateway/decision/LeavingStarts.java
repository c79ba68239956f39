package org.merlinwood.gateway.decision;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * The starts of instances that are known to leave.
 *
 * <p>A start is remembered as long as it is registered, and for {@link #ABSENT_MILLIS} without a registration: it may
 * be registered again after an outage of the store, or by a store that was restored from a backup. So the number of
 * remembered starts is at most that of the registered instances and of the starts that left within that time. Confined
 * to the event loop.
 */
final class LeavingStarts {

    /**
     * Time for which a start is remembered without a registration, in milliseconds. An instance exits within minutes
     * after it said that it leaves, and a backup of the store is seconds old, so the start doesn't come back later.
     */
    static final long ABSENT_MILLIS = 3_600_000;

    private final FleetState fleet;
    private final MillisClock clock;
    private final Map<Start, Learned> learnedByStart = new HashMap<>();

    /** One start of an instance. */
    private record Start(String identifier, long unixMillis) {

        static Start of(UpstreamInstance instance) {
            return new Start(instance.identifier(), instance.startedUnixMillis());
        }

        /** Returns what stands for an instance in notices that came before its start was known. */
        static Start unknownOf(UpstreamInstance instance) {
            return new Start(instance.identifier(), UpstreamInstance.UNKNOWN_START);
        }

        boolean isUnknown() {
            return unixMillis == UpstreamInstance.UNKNOWN_START;
        }

        EntryStatus.LeavingInstance toStatus() {
            return new EntryStatus.LeavingInstance(identifier, unixMillis);
        }
    }

    /**
     * How this entry learned that a start leaves.
     *
     * @param atMillis when
     * @param fromInstance whether from the instance itself
     * @param absentSinceMillis when it was first found without a registration; empty while it is registered
     */
    private record Learned(long atMillis, boolean fromInstance, OptionalLong absentSinceMillis) {

        Learned registered() {
            return new Learned(atMillis, fromInstance, OptionalLong.empty());
        }

        Learned absentAt(long nowMillis) {
            return absentSinceMillis.isPresent()
                    ? this
                    : new Learned(atMillis, fromInstance, OptionalLong.of(nowMillis));
        }

        boolean isAbsentSince(long millis) {
            return absentSinceMillis.isPresent() && absentSinceMillis.getAsLong() <= millis;
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     */
    LeavingStarts(FleetState fleet, MillisClock clock) {
        this.fleet = fleet;
        this.clock = clock;
    }

    /**
     * Adds a start. An unknown start of an instance that isn't registered is left out: it would hold for a later start.
     *
     * @param identifier identifier of the instance
     * @param startedUnixMillis its start, or {@link UpstreamInstance#UNKNOWN_START}
     * @param fromInstance whether the instance itself stated that it leaves
     * @return true if it was added, false if it was known or left out
     */
    boolean add(String identifier, long startedUnixMillis, boolean fromInstance) {
        Start start = new Start(identifier, startedUnixMillis);
        if (learnedByStart.containsKey(start) || (start.isUnknown() && !isRegistered(start))) {
            return false;
        }
        learnedByStart.put(start, new Learned(clock.monotonicMillis(), fromInstance, OptionalLong.empty()));
        forgetAbsent();
        return true;
    }

    /**
     * Forgets what was learned of an instance while its start was unknown.
     *
     * @param instance its last registration
     */
    void forgetUnknownStart(UpstreamInstance instance) {
        learnedByStart.remove(Start.unknownOf(instance));
    }

    /**
     * Returns whether an instance leaves.
     *
     * @param instance the instance
     * @return true if its start leaves, or if it was said to leave while its start was unknown
     */
    boolean contains(UpstreamInstance instance) {
        return learnedByStart.containsKey(Start.of(instance)) || learnedByStart.containsKey(Start.unknownOf(instance));
    }

    /**
     * Returns the starts that were recently learned from the instances themselves.
     *
     * @param millis length of the recent time, in milliseconds
     * @return the starts, in no particular order
     */
    List<EntryStatus.LeavingInstance> learnedFromInstancesWithin(long millis) {
        long oldestMillis = clock.monotonicMillis() - millis;
        return learnedByStart.entrySet().stream()
                .filter(entry ->
                        entry.getValue().fromInstance() && entry.getValue().atMillis() > oldestMillis)
                .map(entry -> entry.getKey().toStatus())
                .toList();
    }

    /**
     * Returns all remembered starts.
     *
     * @return the starts, by identifier and start
     */
    List<InstanceNotices.Leaving> list() {
        return learnedByStart.entrySet().stream()
                .map(entry -> describe(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparing(InstanceNotices.Leaving::instance)
                        .thenComparingLong(InstanceNotices.Leaving::startedUnixMillis))
                .toList();
    }

    private InstanceNotices.Leaving describe(Start start, Learned learned) {
        return new InstanceNotices.Leaving(
                start.identifier(),
                start.unixMillis(),
                clock.monotonicMillis() - learned.atMillis(),
                learned.fromInstance(),
                isRegistered(start));
    }

    /**
     * Returns the number of remembered starts.
     *
     * @return number, those without a registration included
     */
    int size() {
        return learnedByStart.size();
    }

    private void forgetAbsent() {
        long now = clock.monotonicMillis();
        learnedByStart.replaceAll(
                (start, learned) -> isRegistered(start) ? learned.registered() : learned.absentAt(now));
        learnedByStart.values().removeIf(learned -> learned.isAbsentSince(now - ABSENT_MILLIS));
    }

    private boolean isRegistered(Start start) {
        return fleet.find(start.identifier())
                .filter(instance -> start.isUnknown() || instance.startedUnixMillis() == start.unixMillis())
                .isPresent();
    }
}
