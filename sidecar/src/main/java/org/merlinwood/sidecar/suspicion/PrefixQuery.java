package org.merlinwood.sidecar.suspicion;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.decision.suspicion.PrefixDecision;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.sidecar.query.PeerQuery;
import org.merlinwood.sidecar.query.QueryResponse;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.PrefixReport;

/**
 * A report or query to one home of the prefixes of a prompt. Calls its callback exactly once, on the control thread. If
 * the home can't be reached or does not respond in time, the decision is {@link PrefixDecision.Free}.
 */
final class PrefixQuery implements QueryResponse<PrefixDecision> {

    private static final long RESPONSE_TIMEOUT_MILLIS = 300;

    private final Consumer<PrefixDecision> onEnd;

    private PrefixQuery(Consumer<PrefixDecision> onEnd) {
        this.onEnd = onEnd;
    }

    /** Opens an exchange with a home. Called on the control thread. */
    static void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance home,
            PrefixReport report,
            Consumer<PrefixDecision> onEnd) {
        List<Frame.Builder> frames = List.of(Frame.newBuilder().setPrefixReport(report));
        PeerQuery.open(endpoint, loop, home, RESPONSE_TIMEOUT_MILLIS, frames, new PrefixQuery(onEnd));
    }

    @Override
    public Optional<PrefixDecision> read(Frame frame) {
        return Optional.of(PrefixSuspicionStage.fromWire(frame.getPrefixAnswer()));
    }

    @Override
    public PrefixDecision withoutResponse() {
        return new PrefixDecision.Free();
    }

    @Override
    public void onEnd(PrefixDecision decision) {
        onEnd.accept(decision);
    }
}
