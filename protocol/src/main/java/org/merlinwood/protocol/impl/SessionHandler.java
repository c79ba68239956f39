package org.merlinwood.protocol.impl;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.protocol.ProtocolLimits;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Heartbeat;

/**
 * Serves an authenticated connection: frames to exchanges, heartbeats while one is open, the end of idle and of silent
 * connections. One for each connection; used by its event loop.
 */
final class SessionHandler extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NettyPeerConnection connection;
    private final ProtocolLimits limits;
    private final Supplier<Revisions> revisions;
    private final boolean closesWhenIdle;
    private final SessionTimer timer;
    private final MillisClock clock = SystemMillisClock.shared();
    private long lastReceivedMillis = clock.monotonicMillis();
    private boolean hadExchanges;

    SessionHandler(
            NettyPeerConnection connection,
            ProtocolLimits limits,
            Supplier<Revisions> revisions,
            boolean closesWhenIdle,
            SessionTimer timer) {
        this.connection = connection;
        this.limits = limits;
        this.revisions = revisions;
        this.closesWhenIdle = closesWhenIdle;
        this.timer = timer;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        timer.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        lastReceivedMillis = clock.monotonicMillis();
        if (frame.getBodyCase() == Frame.BodyCase.HEARTBEAT) {
            connection.revisionsReceived(
                    WireValues.fromWire(frame.getHeartbeat().getRevisions()));
            return;
        }
        connection.received(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timer.remove(this);
        connection.closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("the connection to %s fails", connection.peer());
        connection.close(codeOf(cause));
    }

    static ResultCode codeOf(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return ResultCode.FRAME_TOO_LARGE;
        }
        return cause instanceof IOException ? ResultCode.CONNECTION_LOST : ResultCode.PROTOCOL_VIOLATION;
    }

    /** Called by the timer of the event loop. */
    void tick() {
        if (!connection.isOpen()) {
            return;
        }
        boolean hasExchanges = connection.hasExchanges();
        long nowMillis = clock.monotonicMillis();
        if (hasExchanges && !hadExchanges) {
            lastReceivedMillis = nowMillis;
        }
        hadExchanges = hasExchanges;
        if (hasExchanges) {
            checkBothDirections(nowMillis);
        } else if (closesWhenIdle && connection.isIdle()) {
            connection.close(ResultCode.CANCELLED);
        }
    }

    private void checkBothDirections(long nowMillis) {
        if (nowMillis - lastReceivedMillis >= limits.silenceMillis()) {
            connection.close(ResultCode.PEER_SILENT);
        } else if (nowMillis - connection.lastSentMillis() >= limits.heartbeatMillis()) {
            connection.send(heartbeat());
        }
    }

    private Frame heartbeat() {
        Heartbeat body = Heartbeat.newBuilder()
                .setRevisions(WireValues.toWire(revisions.get()))
                .build();
        return Frame.newBuilder().setHeartbeat(body).build();
    }
}
