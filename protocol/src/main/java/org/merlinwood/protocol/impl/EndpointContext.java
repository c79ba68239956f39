package org.merlinwood.protocol.impl;

import io.netty.util.concurrent.EventExecutor;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.protocol.ExchangeAcceptor;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.ProtocolLimits;
import org.merlinwood.protocol.ProtocolObserver;
import org.merlinwood.wire.Frame;

/** Configuration and state shared by all connections of one endpoint. Thread-safe. */
record EndpointContext(
        PeerIdentity identity,
        HandshakeProof proof,
        ProtocolLimits limits,
        Supplier<Revisions> revisions,
        ProtocolObserver observer,
        Map<Frame.BodyCase, ExchangeAcceptor> acceptors,
        AtomicInteger unauthenticated,
        Map<EventExecutor, SessionTimer> timers) {

    /** With two ticks per heartbeat period, at most one and a half periods pass without a sent frame. */
    private static final int TICKS_PER_HEARTBEAT = 2;

    /** Returns the timer of an event loop. */
    SessionTimer timer(EventExecutor eventLoop) {
        return timers.computeIfAbsent(
                eventLoop,
                executor -> new SessionTimer(executor, Math.max(1, limits.heartbeatMillis() / TICKS_PER_HEARTBEAT)));
    }

    /** Counts an accepted connection; returns false if there are too many. Must be released in both cases. */
    boolean acquireUnauthenticatedSlot() {
        return unauthenticated.incrementAndGet() <= limits.maximumUnauthenticated();
    }

    /** Releases the slot of a connection that was authenticated or refused. */
    void releaseUnauthenticatedSlot() {
        unauthenticated.decrementAndGet();
    }
}
