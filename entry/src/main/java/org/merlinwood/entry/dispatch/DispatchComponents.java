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
 * What all requests of one entry share. Immutable; its parts are thread-safe.
 *
 * @param endpoint connections to the sidecars
 * @param control the control thread
 * @param clock the clock
 * @param metrics counters and timers
 * @param revisions the revisions in force
 * @param peerRevisions hears of the revisions of a sidecar, to catch up with them
 * @param keys the valid keys of the fleet; the first one mints
 */
record DispatchComponents(
        PeerEndpoint endpoint,
        ControlLoop control,
        MillisClock clock,
        EntryMetrics metrics,
        Supplier<Revisions> revisions,
        BiConsumer<PeerConnection, Revisions> peerRevisions,
        List<SharedKey> keys) {

    /** Size of a plain answer at most, in bytes. */
    static final int MAXIMUM_ANSWER_BYTES = 8 << 20;
}
