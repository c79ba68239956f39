package org.merlinwood.gateway.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.gateway.fleet.FleetState;
import org.merlinwood.gateway.fleet.UpstreamInstance;

/**
 * The software versions that the instances of each service have run as long as this entry knows the service. Confined
 * to the event loop.
 */
public final class VersionHistory {

    private final FleetState fleet;
    private final MillisClock clock;
    private final Map<String, ServiceHistory> historyByService = new HashMap<>();

    /** History of one service; all times are monotonic, in milliseconds. */
    private static final class ServiceHistory {

        private final long sinceMillis;
        private final Map<String, Long> lastEndMillisByVersion = new HashMap<>();

        private ServiceHistory(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * Creates an empty history.
     *
     * @param fleet the registered instances
     * @param clock source of the monotonic time
     */
    public VersionHistory(FleetState fleet, MillisClock clock) {
        this.fleet = fleet;
        this.clock = clock;
    }

    /**
     * Records that an instance was registered.
     *
     * @param instance the registration
     */
    public void onRegistered(UpstreamInstance instance) {
        historyOf(instance);
    }

    /**
     * Records that a registration was replaced or removed.
     *
     * @param instance the former registration
     */
    public void onRegistrationEnded(UpstreamInstance instance) {
        historyOf(instance).lastEndMillisByVersion.put(instance.version(), clock.monotonicMillis());
    }

    private ServiceHistory historyOf(UpstreamInstance instance) {
        return historyByService.computeIfAbsent(
                instance.service(), ignored -> new ServiceHistory(clock.monotonicMillis()));
    }

    /**
     * Returns the versions that instances of a service have run within a time, as far as this entry knows.
     *
     * @param service name of the service
     * @param millis length of the time until now, in milliseconds
     * @return the versions, those of registered instances included
     */
    public Set<String> versionsWithin(String service, long millis) {
        Set<String> versions = new HashSet<>();
        fleet.instances(service).forEach(instance -> versions.add(instance.version()));
        ServiceHistory history = historyByService.get(service);
        if (history != null) {
            long oldestMillis = clock.monotonicMillis() - millis;
            history.lastEndMillisByVersion.forEach((version, endMillis) -> {
                if (endMillis >= oldestMillis) {
                    versions.add(version);
                }
            });
        }
        return versions;
    }

    /**
     * Returns the only version that instances of a service have run within a time.
     *
     * @param service name of the service
     * @param millis length of the time until now, in milliseconds
     * @return the version, or empty if there were several or this entry hasn't known the service for as long
     */
    public Optional<String> soleVersionWithin(String service, long millis) {
        ServiceHistory history = historyByService.get(service);
        Set<String> versions = versionsWithin(service, millis);
        boolean knownLongEnough = history != null && clock.monotonicMillis() - history.sinceMillis >= millis;
        return knownLongEnough && versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }
}
