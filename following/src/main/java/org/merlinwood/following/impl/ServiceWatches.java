package org.merlinwood.following.impl;

import java.util.EnumMap;
import java.util.Map;
import org.merlinwood.core.time.MillisClock;

/** Controls the service watches of both documents together. Confined to the control thread. */
final class ServiceWatches implements PeerFollowing.WatchControl {

    private final Map<DocumentKind, ServiceWatch> watches = new EnumMap<>(DocumentKind.class);

    ServiceWatches(
            ConfigurationService service,
            ControlTimer timer,
            MillisClock clock,
            Jitter jitter,
            DocumentStore store,
            ServiceWatch.Listener listener) {
        for (DocumentKind kind : DocumentKind.values()) {
            ServiceWatch watch =
                    new ServiceWatch(kind, service, timer, clock, jitter, () -> store.seenRevision(kind), listener);
            watches.put(kind, watch);
        }
    }

    @Override
    public void start() {
        watches.values().forEach(ServiceWatch::start);
    }

    @Override
    public void stop() {
        watches.values().forEach(ServiceWatch::stop);
    }

    /** Replaces the pending requests, as needed after the process was paused. */
    void restart() {
        watches.values().forEach(ServiceWatch::restart);
    }

    @Override
    public boolean isRunning() {
        return watches.values().stream().anyMatch(ServiceWatch::isRunning);
    }

    @Override
    public int failures() {
        return watches.values().stream().mapToInt(ServiceWatch::failures).max().orElse(0);
    }
}
