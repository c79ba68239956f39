package org.merlinwood.entry.dispatch;

import java.net.InetSocketAddress;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.wire.Cancel;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.RequestIdentity;

/**
 * The message that cancels one attempt at a sidecar. Immutable.
 *
 * @param endpoint connects to the sidecar
 * @param address address of the sidecar
 * @param identity identity of the request that the attempt belongs to
 */
record AttemptCancellation(PeerEndpoint endpoint, InetSocketAddress address, RequestIdentity identity) {

    private static final ExchangeListener NO_OP_LISTENER = new ExchangeListener() {
        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    };

    /**
     * Builds the message.
     *
     * @param reason why the attempt is cancelled
     */
    Frame.Builder frame(ResultCode reason) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder()
                        .setRequest(identity)
                        .setReasonCode(reason.number())
                        .build());
    }

    /** Cancels work that was started on a lost connection, using another connection. The result is not awaited. */
    void sendOnNewConnection() {
        var unused = endpoint.connect(address)
                .thenAccept(result -> result.peek(connection -> {
                    Exchange cancelling = connection.open(NO_OP_LISTENER);
                    cancelling.send(frame(ResultCode.CONNECTION_LOST));
                    cancelling.finish();
                }));
    }
}
