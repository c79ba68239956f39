package org.merlinwood.entry.dispatch;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;

/**
 * Components shared by all requests of an entry. Immutable; the components are thread-safe.
 *
 * @param endpoint connections to the sidecars
 * @param control the control loop, which owns the state of all requests
 * @param clock the clock
 * @param metrics counters and timers
 * @param revisions returns the active revisions
 * @param peerRevisions receives the revisions of a sidecar and updates to them if they are higher
 * @param keys the valid shared keys of the fleet; the first one is used to mint idempotency keys
 */
record DispatchComponents(
        PeerEndpoint endpoint,
        ControlLoop control,
        MillisClock clock,
        EntryMetrics metrics,
        Supplier<Revisions> revisions,
        BiConsumer<PeerConnection, Revisions> peerRevisions,
        List<SharedKey> keys) {

    /** Maximum size of a plain response, in bytes. */
    static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;
}
