package org.merlinwood.sidecar.suspicion;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.suspicion.SuspicionDecision;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.sidecar.query.PeerQuery;
import org.merlinwood.sidecar.query.QueryResponse;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.SuspicionReport;

/**
 * A report or query to one home of a fingerprint. Calls its callback exactly once, on the control thread. If the home
 * can't be reached or does not respond in time, the decision is {@link SuspicionDecision.Free}.
 */
final class SuspicionQuery implements QueryResponse<SuspicionDecision> {

    private static final long RESPONSE_TIMEOUT_MILLIS = 300;

    private final Consumer<SuspicionDecision> onEnd;

    private SuspicionQuery(Consumer<SuspicionDecision> onEnd) {
        this.onEnd = onEnd;
    }

    /** Opens an exchange with a home. Called on the control thread. */
    static void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance home,
            SuspicionReport report,
            Consumer<SuspicionDecision> onEnd) {
        List<Frame.Builder> frames = List.of(Frame.newBuilder().setSuspicionReport(report));
        PeerQuery.open(endpoint, loop, home, RESPONSE_TIMEOUT_MILLIS, frames, new SuspicionQuery(onEnd));
    }

    @Override
    public Optional<SuspicionDecision> read(Frame frame) {
        return Optional.of(SuspicionStage.fromWire(frame.getSuspicionAnswer()));
    }

    @Override
    public SuspicionDecision withoutResponse() {
        return new SuspicionDecision.Free();
    }

    @Override
    public void onEnd(SuspicionDecision decision) {
        onEnd.accept(decision);
    }
}
