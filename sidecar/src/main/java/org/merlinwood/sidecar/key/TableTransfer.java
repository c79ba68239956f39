package org.merlinwood.sidecar.key;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.TablePart;

/**
 * One exchange about a table that this process opens: sends frames, collects parts up to the last one.
 *
 * <p>Ends once, on the control thread, with the parts, or with none if the peer did not answer whole and in time.
 */
final class TableTransfer implements ExchangeListener {

    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    private final ControlLoop loop;
    private final Consumer<List<TablePart>> onEnd;
    private final List<TablePart> parts = new ArrayList<>();
    private Exchange exchange;
    private Future<?> timeout;
    private boolean ended;

    private TableTransfer(ControlLoop loop, Consumer<List<TablePart>> onEnd) {
        this.loop = loop;
        this.onEnd = onEnd;
    }

    /** Opens an exchange with an instance. Called on the control thread. */
    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    static void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance peer,
            List<Frame.Builder> frames,
            Consumer<List<TablePart>> onEnd) {
        TableTransfer conversation = new TableTransfer(loop, onEnd);
        conversation.timeout = loop.schedule(ANSWER_TIMEOUT_MILLIS, () -> conversation.end(List.of()));
        InetSocketAddress address =
                new InetSocketAddress(peer.address().host(), peer.address().port());
        endpoint.connect(address)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> conversation.end(List.of()), connection -> conversation.send(connection, frames))));
    }

    // ------------------------------------------------------------------ internals

    private boolean send(PeerConnection connection, List<Frame.Builder> frames) {
        if (ended) {
            return false;
        }
        exchange = connection.open(this);
        frames.forEach(exchange::send);
        return true;
    }

    @Override
    public void onFrame(Exchange source, Frame frame) {
        loop.execute(() -> received(frame));
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        loop.execute(() -> end(List.of()));
    }

    private void received(Frame frame) {
        if (!frame.hasTablePart()) {
            end(List.of());
            return;
        }
        parts.add(frame.getTablePart());
        if (frame.getTablePart().getLast()) {
            end(List.copyOf(parts));
        }
    }

    private boolean end(List<TablePart> result) {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel(false);
        if (exchange != null) {
            exchange.finish();
        }
        onEnd.accept(result);
        return true;
    }
}
