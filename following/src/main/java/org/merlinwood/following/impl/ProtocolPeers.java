package org.merlinwood.following.impl;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.merlinwood.configuration.inventory.NetworkAddress;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.DocumentsRequest;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Subscribe;

/** Reaches peers over the protocol between processes. Thread-safe. */
final class ProtocolPeers implements Peers {

    private static final long FETCH_TIMEOUT_MILLIS = 3_000;

    private final PeerEndpoint endpoint;
    private final ControlTimer timer;

    ProtocolPeers(PeerEndpoint endpoint, ControlTimer timer) {
        this.endpoint = endpoint;
        this.timer = timer;
    }

    // ------------------------------------------------------------------ public API

    @Override
    public Peer at(NetworkAddress address) {
        InetSocketAddress socketAddress = address.toSocketAddress();
        return new ProtocolPeer(address.toString(), () -> endpoint.connect(socketAddress), timer);
    }

    /** Returns the process at the other end of a connection. */
    static Peer of(PeerConnection connection, ControlTimer timer) {
        String name = connection.peer().instance().value();
        return new ProtocolPeer(name, () -> CompletableFuture.completedFuture(Either.right(connection)), timer);
    }

    // ------------------------------------------------------------------ internals

    private interface Connector {
        CompletionStage<Either<Failure, PeerConnection>> connect();
    }

    private record ProtocolPeer(String name, Connector connector, ControlTimer timer) implements Peer {

        @Override
        public void fetch(Revisions known, Listener listener) {
            PeerExchange peerExchange = new PeerExchange(timer, listener, true);
            Frame.Builder request = Frame.newBuilder()
                    .setDocumentsRequest(DocumentsRequest.newBuilder().setKnown(WireValues.toWire(known)));
            connector.connect().thenAccept(result -> peerExchange.start(result, request));
            timer.schedule(FETCH_TIMEOUT_MILLIS, peerExchange::onTimeout);
        }

        @Override
        public Subscription subscribe(Revisions known, Listener listener) {
            PeerExchange peerExchange = new PeerExchange(timer, listener, false);
            Frame.Builder request =
                    Frame.newBuilder().setSubscribe(Subscribe.newBuilder().setKnown(WireValues.toWire(known)));
            connector.connect().thenAccept(result -> peerExchange.start(result, request));
            return peerExchange;
        }
    }

    /**
     * One exchange: a single response or a subscription. Frames arrive on event loops; everything else runs on the
     * control thread.
     */
    private static final class PeerExchange implements ExchangeListener, Peer.Subscription {

        private final ControlTimer timer;
        private final Peer.Listener listener;
        private final boolean singleResponse;
        private final AtomicReference<Exchange> exchange = new AtomicReference<>();
        private boolean ended;

        private PeerExchange(ControlTimer timer, Peer.Listener listener, boolean single) {
            this.timer = timer;
            this.listener = listener;
            this.singleResponse = single;
        }

        private void start(Either<Failure, PeerConnection> result, Frame.Builder request) {
            timer.execute(() -> {
                if (ended) {
                    return;
                }
                if (result.isLeft()) {
                    fail(result.getLeft());
                    return;
                }
                Exchange opened = result.get().open(this);
                exchange.set(opened);
                if (!opened.send(request)) {
                    fail(Failure.of(ResultCode.CONNECTION_LOST, "the request could not be sent"));
                }
            });
        }

        @Override
        public void onFrame(Exchange source, Frame frame) {
            timer.execute(() -> {
                if (ended) {
                    return;
                }
                if (frame.getBodyCase() != Frame.BodyCase.DOCUMENTS) {
                    fail(Failure.of(
                            ResultCode.PROTOCOL_VIOLATION, "expected a documents frame, got " + frame.getBodyCase()));
                    return;
                }
                if (singleResponse) {
                    end();
                }
                listener.onUpdates(DocumentMessages.fromWire(frame.getDocuments()));
            });
        }

        @Override
        public void onClosed(Exchange source, ResultCode code) {
            timer.execute(() -> fail(Failure.of(code, "the connection closed before the exchange was finished")));
        }

        @Override
        public void end() {
            ended = true;
            Exchange opened = exchange.getAndSet(null);
            if (opened != null) {
                opened.finish();
            }
        }

        private void onTimeout() {
            fail(Failure.of(ResultCode.PEER_SILENT, "no response within the time limit"));
        }

        private void fail(Failure failure) {
            if (!ended) {
                end();
                listener.onEnded(failure);
            }
        }
    }

    /** Sends updates on an exchange that a peer opened. */
    static boolean send(Exchange exchange, List<DocumentUpdate> updates) {
        return exchange.send(Frame.newBuilder().setDocuments(DocumentMessages.toWire(updates)));
    }
}
