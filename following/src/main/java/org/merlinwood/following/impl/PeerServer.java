package org.merlinwood.following.impl;

import java.util.List;
import java.util.function.Predicate;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Frame;

/** Answers peers that ask for revisions. Its methods are called on event loops and hand over to the control thread. */
final class PeerServer {

    private final ControlTimer timer;
    private final DocumentStore store;
    private final Subscribers subscribers;

    PeerServer(ControlTimer timer, DocumentStore store, Subscribers subscribers) {
        this.timer = timer;
        this.store = store;
        this.subscribers = subscribers;
    }

    /** Accepts a request for what is newer; answers once. */
    ExchangeListener acceptRequest(Exchange exchange, Frame first) {
        timer.execute(() -> {
            ProtocolPeers.send(
                    exchange,
                    store.since(WireValues.fromWire(first.getDocumentsRequest().getKnown())));
            exchange.finish();
        });
        return new Ignoring(() -> {});
    }

    /** Accepts a subscription. */
    ExchangeListener acceptSubscription(Exchange exchange, Frame first) {
        InstanceName name = exchange.connection().peer().instance();
        Predicate<List<DocumentUpdate>> sender = updates -> ProtocolPeers.send(exchange, updates);
        timer.execute(() -> {
            if (!subscribers.add(name, WireValues.fromWire(first.getSubscribe().getKnown()), sender)) {
                exchange.finish();
            }
        });
        return new Ignoring(() -> timer.execute(() -> subscribers.remove(name, sender)));
    }

    /** A listener that awaits no frame. */
    private record Ignoring(Runnable closed) implements ExchangeListener {

        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {
            closed.run();
        }
    }
}
