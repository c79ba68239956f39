package org.merlinwood.protocol.impl;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.ExchangeAcceptor;
import org.merlinwood.protocol.ExchangeListener;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.ProtocolLimits;
import org.merlinwood.protocol.ProtocolObserver;
import org.merlinwood.wire.Frame;

/**
 * An authenticated connection on a Netty channel. Thread-safe.
 *
 * <p>Exchanges opened by the connecting side have odd numbers, those of the accepting side even ones.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Netty reports a failed write to exceptionCaught
final class NettyPeerConnection implements PeerConnection {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int EXCHANGE_NUMBER_STEP = 2;

    private final Channel channel;
    private final PeerIdentity peer;
    private final ProtocolLimits limits;
    private final ProtocolObserver observer;
    private final Map<Frame.BodyCase, ExchangeAcceptor> acceptors;
    private final Map<Long, NettyExchange> exchanges = new ConcurrentHashMap<>();
    private final AtomicLong nextExchangeNumber;
    private final long ownParity;
    private final AtomicReference<ResultCode> closeCode = new AtomicReference<>();
    private final MillisClock clock = SystemMillisClock.shared();
    private volatile Revisions peerRevisions = new Revisions(Revisions.NONE, Revisions.NONE);
    private volatile long lastExchangeMillis;
    private volatile long lastSentMillis;
    private long highestPeerExchangeNumber;

    // ------------------------------------------------------------------ life-cycle

    NettyPeerConnection(
            Channel channel,
            PeerIdentity peer,
            boolean connectingSide,
            ProtocolLimits limits,
            ProtocolObserver observer,
            Map<Frame.BodyCase, ExchangeAcceptor> acceptors) {
        this.channel = channel;
        this.peer = peer;
        this.limits = limits;
        this.observer = observer;
        this.acceptors = acceptors;
        this.ownParity = connectingSide ? 1 : 0;
        this.nextExchangeNumber = new AtomicLong(connectingSide ? 1 : EXCHANGE_NUMBER_STEP);
        this.lastExchangeMillis = clock.monotonicMillis();
        this.lastSentMillis = lastExchangeMillis;
    }

    @Override
    public void close(ResultCode code) {
        closeCode.compareAndSet(null, code);
        channel.close();
    }

    /** Called on the event loop once the channel is closed. */
    void onChannelClosed() {
        ResultCode code = closeCode();
        List.copyOf(exchanges.values()).forEach(exchange -> endExchange(exchange, code));
        observer.onClosed(this, code);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public PeerIdentity peer() {
        return peer;
    }

    @Override
    public Revisions peerRevisions() {
        return peerRevisions;
    }

    @Override
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public Exchange open(ExchangeListener listener) {
        NettyExchange exchange = new NettyExchange(this, nextExchangeNumber.getAndAdd(EXCHANGE_NUMBER_STEP));
        exchange.listener(listener);
        exchanges.put(exchange.number(), exchange);
        if (!channel.isActive()) {
            channel.eventLoop().execute(() -> endExchange(exchange, closeCode()));
        }
        return exchange;
    }

    // ------------------------------------------------------------------ internals

    boolean hasExchanges() {
        return !exchanges.isEmpty();
    }

    boolean isIdle() {
        return exchanges.isEmpty() && clock.monotonicMillis() - lastExchangeMillis >= limits.idleMillis();
    }

    long lastSentMillis() {
        return lastSentMillis;
    }

    boolean send(Frame frame) {
        if (!channel.isActive()) {
            return false;
        }
        if (channel.bytesBeforeWritable() > limits.maximumPendingBytes()) {
            close(ResultCode.CALLER_TOO_SLOW);
            return false;
        }
        lastSentMillis = clock.monotonicMillis();
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    void removeExchange(NettyExchange exchange) {
        if (exchanges.remove(exchange.number(), exchange)) {
            lastExchangeMillis = clock.monotonicMillis();
        }
    }

    void onRevisions(Revisions revisions) {
        peerRevisions = new Revisions(
                Math.max(peerRevisions.inventory(), revisions.inventory()),
                Math.max(peerRevisions.rules(), revisions.rules()));
        observer.onRevisions(this, revisions);
    }

    /** Dispatches a frame to its exchange. Called on the event loop. */
    void onFrame(Frame frame) {
        NettyExchange exchange = exchanges.get(frame.getExchange());
        if (exchange != null) {
            exchange.listener().onFrame(exchange, frame);
            return;
        }
        if (frame.getExchange() % EXCHANGE_NUMBER_STEP != ownParity) {
            onUnknownExchange(frame);
        }
    }

    /**
     * Handles a frame of an exchange that is not open here.
     *
     * <p>Threads of the peer may send the first frames of exchanges in a different order than the numbers were
     * assigned. Therefore a frame of a kind that has an acceptor opens an exchange whatever its number. A frame of
     * another kind is a late frame of a finished exchange and is dropped, unless its number is higher than any seen
     * before.
     */
    private void onUnknownExchange(Frame first) {
        ExchangeAcceptor acceptor = acceptors.get(first.getBodyCase());
        if (acceptor != null && exchanges.size() < limits.maximumExchanges()) {
            accept(acceptor, first);
            return;
        }
        if (acceptor != null || first.getExchange() > highestPeerExchangeNumber) {
            logger.atWarning().log(
                    "closing the connection to %s: exchange can't be accepted, first frame is %s",
                    peer, first.getBodyCase());
            close(ResultCode.PROTOCOL_VIOLATION);
        }
    }

    private void accept(ExchangeAcceptor acceptor, Frame first) {
        highestPeerExchangeNumber = Math.max(highestPeerExchangeNumber, first.getExchange());
        NettyExchange exchange = new NettyExchange(this, first.getExchange());
        exchanges.put(exchange.number(), exchange);
        exchange.listener(new PendingListener());
        exchange.listener(acceptor.accept(exchange, first));
    }

    private void endExchange(NettyExchange exchange, ResultCode code) {
        if (exchanges.remove(exchange.number(), exchange)) {
            exchange.listener().onClosed(exchange, code);
        }
    }

    private ResultCode closeCode() {
        ResultCode code = closeCode.get();
        return code == null ? ResultCode.CONNECTION_LOST : code;
    }

    /**
     * Placeholder until the acceptor has returned. It receives no frames, because frames and the acceptor are handled
     * on the same event loop.
     */
    private static final class PendingListener implements ExchangeListener {

        @Override
        public void onFrame(Exchange exchange, Frame frame) {}

        @Override
        public void onClosed(Exchange exchange, ResultCode code) {}
    }
}
