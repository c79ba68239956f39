package org.merlinwood.protocol.impl;

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
record EndpointShared(
        PeerIdentity identity,
        HandshakeProof proof,
        ProtocolLimits limits,
        Supplier<Revisions> revisions,
        ProtocolObserver observer,
        Map<Frame.BodyCase, ExchangeAcceptor> acceptors,
        AtomicInteger unauthenticated) {

    boolean unauthenticatedBegan() {
        return unauthenticated.incrementAndGet() <= limits.maximumUnauthenticated();
    }

    void unauthenticatedEnded() {
        unauthenticated.decrementAndGet();
    }
}
