package org.merlinwood.sidecar.query;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import org.merlinwood.configuration.inventory.Instance;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.operation.control.ControlLoop;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Frame;

/**
 * An exchange that this process opens to another one: sends frames, reads the response and ends, at the latest at its
 * timeout. Its state is confined to the control thread.
 *
 * @param <T> type of the result
 */
public final class PeerQuery<T> implements ExchangeListener {

    private final ControlLoop loop;
    private final QueryResponse<T> response;
    private Exchange exchange;
    private Future<?> timeout;
    private boolean ended;

    private PeerQuery(ControlLoop loop, QueryResponse<T> response) {
        this.loop = loop;
        this.response = response;
    }

    /**
     * Opens an exchange. Called on the control thread.
     *
     * @param endpoint makes the connection
     * @param loop the control thread
     * @param peer the instance that is asked
     * @param timeoutMillis time until the end without a complete response, in milliseconds
     * @param frames the frames to send
     * @param response reads the response and receives the result
     * @param <T> type of the result
     */
    @SuppressWarnings("FutureReturnValueIgnored") // completed in the callback, never exceptionally
    public static <T> void open(
            PeerEndpoint endpoint,
            ControlLoop loop,
            Instance peer,
            long timeoutMillis,
            List<Frame.Builder> frames,
            QueryResponse<T> response) {
        PeerQuery<T> query = new PeerQuery<>(loop, response);
        query.timeout = loop.schedule(timeoutMillis, query::endWithoutResponse);
        InetSocketAddress address =
                new InetSocketAddress(peer.address().host(), peer.address().port());
        endpoint.connect(address)
                .thenAccept(result -> loop.execute(() -> result.fold(
                        failure -> query.endWithoutResponse(), connection -> query.send(connection, frames))));
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
        loop.execute(() -> response.read(frame).ifPresent(this::end));
    }

    @Override
    public void onClosed(Exchange source, ResultCode code) {
        loop.execute(this::endWithoutResponse);
    }

    private boolean endWithoutResponse() {
        return end(response.withoutResponse());
    }

    private boolean end(T result) {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel(false);
        if (exchange != null) {
            exchange.finish();
        }
        response.onEnd(result);
        return true;
    }
}
