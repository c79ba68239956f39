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

/** What all connections of one endpoint share. Thread-safe. */
record EndpointContext(
        PeerIdentity identity,
        HandshakeProof proof,
        ProtocolLimits limits,
        Supplier<Revisions> revisions,
        ProtocolObserver observer,
        Map<Frame.BodyCase, ExchangeAcceptor> acceptors,
        AtomicInteger unauthenticated,
        Map<EventExecutor, SessionTimer> timers) {

    /** Ticks for each period of heartbeats, so that the longest quiet is that of one and a half. */
    private static final int TICKS_PER_HEARTBEAT = 2;

    SessionTimer timer(EventExecutor loop) {
        return timers.computeIfAbsent(
                loop,
                created -> new SessionTimer(created, Math.max(1, limits.heartbeatMillis() / TICKS_PER_HEARTBEAT)));
    }

    boolean unauthenticatedBegan() {
        return unauthenticated.incrementAndGet() <= limits.maximumUnauthenticated();
    }

    void unauthenticatedEnded() {
        unauthenticated.decrementAndGet();
    }
}
