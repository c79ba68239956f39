package org.merlinwood.protocol.impl;

import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.wire.Frame;

/** An exchange of a {@link NettyPeerConnection}. Thread-safe; its listener is called on the event loop. */
final class NettyExchange implements Exchange {

    private final NettyPeerConnection connection;
    private final long number;
    private volatile ExchangeListener listener;

    NettyExchange(NettyPeerConnection connection, long number) {
        this.connection = connection;
        this.number = number;
    }

    long number() {
        return number;
    }

    ExchangeListener listener() {
        return listener;
    }

    void listener(ExchangeListener value) {
        listener = value;
    }

    @Override
    public PeerConnection connection() {
        return connection;
    }

    @Override
    public boolean send(Frame.Builder frame) {
        return connection.send(frame.setExchange(number).build());
    }

    @Override
    public void finish() {
        connection.removeExchange(this);
    }
}
