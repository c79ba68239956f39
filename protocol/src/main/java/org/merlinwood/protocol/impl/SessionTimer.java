package org.merlinwood.protocol.impl;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Looks at all sessions of one event loop at once, so that a process wakes up a few times a second whatever the number
 * of its connections. Used by its event loop; ticks only while there is a session.
 */
final class SessionTimer {

    private final EventExecutor loop;
    private final long periodMillis;
    private final Set<SessionHandler> sessions = new LinkedHashSet<>();
    private ScheduledFuture<?> ticking;

    SessionTimer(EventExecutor loop, long periodMillis) {
        this.loop = loop;
        this.periodMillis = periodMillis;
    }

    void add(SessionHandler session) {
        sessions.add(session);
        if (ticking == null) {
            ticking = loop.scheduleAtFixedRate(this::tick, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
        }
    }

    void remove(SessionHandler session) {
        sessions.remove(session);
        if (sessions.isEmpty() && ticking != null) {
            ticking.cancel(false);
            ticking = null;
        }
    }

    private void tick() {
        List.copyOf(sessions).forEach(SessionHandler::tick);
    }
}
