package org.merlinwood.sidecar.suspicion;

import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.suspicion.SuspicionDecision;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.SuspicionReport;

/**
 * A report or query to one home of a fingerprint. Calls its callback exactly once, on the control thread. If the home
 * can't be reached or does not respond in time, the decision is {@link SuspicionDecision.Free}.
 */
final class SuspicionQuery implements ExchangeListener {

    private static final long RESPONSE_TIMEOUT_MILLIS = 300;

    private final ControlLoop loop;
    private final Consumer<SuspicionDecision> onEnd;
    private Exchange exchange;
    private Future<?> timeout;
    private boolean ended;

    private SuspicionQuery(ControlLoop loop, Consumer<SuspicionDecision> onEnd) {
        this.loop = loop;
        this.onEnd = onEnd;
    }

    /** Opens an exchange with a home. Called on the control thread. */
    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    static void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance home,
            SuspicionReport report,
            Consumer<SuspicionDecision> onEnd) {
        SuspicionQuery query = new SuspicionQuery(loop, onEnd);
        query.timeout = loop.schedule(RESPONSE_TIMEOUT_MILLIS, () -> query.end(new SuspicionDecision.Free()));
        InetSocketAddress address =
                new InetSocketAddress(home.address().host(), home.address().port());
        endpoint.connect(address)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> query.end(new SuspicionDecision.Free()),
                        connection -> query.send(connection, report))));
    }

    private boolean send(PeerConnection connection, SuspicionReport report) {
        if (ended) {
            return false;
        }
        exchange = connection.open(this);
        return exchange.send(Frame.newBuilder().setSuspicionReport(report));
    }

    @Override
    public void onFrame(Exchange source, Frame frame) {
        loop.execute(() -> end(SuspicionStage.fromWire(frame.getSuspicionAnswer())));
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        loop.execute(() -> end(new SuspicionDecision.Free()));
    }

    private boolean end(SuspicionDecision decision) {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel(false);
        if (exchange != null) {
            exchange.finish();
        }
        onEnd.accept(decision);
        return true;
    }
}
