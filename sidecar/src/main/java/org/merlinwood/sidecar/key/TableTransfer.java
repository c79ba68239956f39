package org.merlinwood.sidecar.key;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.sidecar.query.PeerQuery;
import org.merlinwood.sidecar.query.QueryResponse;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.TablePart;

/**
 * A query that requests or sends a table: collects the parts of the response.
 *
 * <p>Calls its callback exactly once, on the control thread, with all parts, or with an empty list if the peer did not
 * respond completely within the timeout.
 */
final class TableTransfer implements QueryResponse<List<TablePart>> {

    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    private final Consumer<List<TablePart>> onEnd;
    private final List<TablePart> parts = new ArrayList<>();

    private TableTransfer(Consumer<List<TablePart>> onEnd) {
        this.onEnd = onEnd;
    }

    /** Opens an exchange with an instance. Called on the control thread. */
    static void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance peer,
            List<Frame.Builder> frames,
            Consumer<List<TablePart>> onEnd) {
        PeerQuery.open(endpoint, loop, peer, RESPONSE_TIMEOUT_MILLIS, frames, new TableTransfer(onEnd));
    }

    @Override
    public Optional<List<TablePart>> read(Frame frame) {
        if (!frame.hasTablePart()) {
            return Optional.of(List.of());
        }
        parts.add(frame.getTablePart());
        return frame.getTablePart().getLast() ? Optional.of(List.copyOf(parts)) : Optional.empty();
    }

    @Override
    public List<TablePart> withoutResponse() {
        return List.of();
    }

    @Override
    public void onEnd(List<TablePart> result) {
        onEnd.accept(result);
    }
}
