package org.merlinwood.following.impl;

import java.util.List;
import java.util.function.Predicate;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Frame;

/**
 * Serves documents and subscriptions to peers. Methods are called on event loops and pass the work to the control
 * thread.
 */
final class PeerServer {

    private final ControlTimer timer;
    private final DocumentStore store;
    private final Subscribers subscribers;

    PeerServer(ControlTimer timer, DocumentStore store, Subscribers subscribers) {
        this.timer = timer;
        this.store = store;
        this.subscribers = subscribers;
    }

    /** Accepts a request for documents that are newer than the peer's; sends one response. */
    ExchangeListener acceptRequest(Exchange exchange, Frame first) {
        timer.execute(() -> {
            ProtocolPeers.send(
                    exchange,
                    store.since(WireValues.fromWire(first.getDocumentsRequest().getKnown())));
            exchange.finish();
        });
        return new FrameIgnoringListener(() -> {});
    }

    /** Accepts a subscription; finishes the exchange if there are too many subscribers. */
    ExchangeListener acceptSubscription(Exchange exchange, Frame first) {
        InstanceName name = exchange.connection().peer().instance();
        Predicate<List<DocumentUpdate>> sender = updates -> ProtocolPeers.send(exchange, updates);
        timer.execute(() -> {
            if (!subscribers.add(name, WireValues.fromWire(first.getSubscribe().getKnown()), sender)) {
                exchange.finish();
            }
        });
        return new FrameIgnoringListener(() -> timer.execute(() -> subscribers.remove(name, sender)));
    }

    /** Ignores further frames of the peer and runs an action when the connection closes. */
    private record FrameIgnoringListener(Runnable closeAction) implements ExchangeListener {

        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {
            closeAction.run();
        }
    }
}
