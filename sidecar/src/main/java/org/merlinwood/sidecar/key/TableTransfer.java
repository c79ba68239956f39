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
 * An exchange that this process opens to request or send a table: sends frames and collects the parts of the response.
 *
 * <p>Calls its callback exactly once, on the control thread, with all parts, or with an empty list if the peer did not
 * respond completely within the timeout.
 */
final class TableTransfer implements ExchangeListener {

    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

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
        TableTransfer transfer = new TableTransfer(loop, onEnd);
        transfer.timeout = loop.schedule(RESPONSE_TIMEOUT_MILLIS, () -> transfer.end(List.of()));
        InetSocketAddress address =
                new InetSocketAddress(peer.address().host(), peer.address().port());
        endpoint.connect(address)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> transfer.end(List.of()), connection -> transfer.send(connection, frames))));
    }

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
        loop.execute(() -> onReceived(frame));
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        loop.execute(() -> end(List.of()));
    }

    private void onReceived(Frame frame) {
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
