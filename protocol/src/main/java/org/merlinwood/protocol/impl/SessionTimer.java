package org.merlinwood.protocol.impl;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks all sessions of one event loop periodically. A single timer per event loop keeps the number of wake-ups per
 * second independent of the number of connections. Confined to its event loop; scheduled only while there is a session.
 */
final class SessionTimer {

    private final EventExecutor eventLoop;
    private final long periodMillis;
    private final Set<SessionHandler> sessions = new LinkedHashSet<>();
    private ScheduledFuture<?> scheduledTick;

    SessionTimer(EventExecutor eventLoop, long periodMillis) {
        this.eventLoop = eventLoop;
        this.periodMillis = periodMillis;
    }

    void add(SessionHandler session) {
        sessions.add(session);
        if (scheduledTick == null) {
            scheduledTick =
                    eventLoop.scheduleAtFixedRate(this::tick, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        }
    }

    void remove(SessionHandler session) {
        sessions.remove(session);
        if (sessions.isEmpty() && scheduledTick != null) {
            scheduledTick.cancel(false);
            scheduledTick = null;
        }
    }

    private void tick() {
        List.copyOf(sessions).forEach(SessionHandler::tick);
    }
}
