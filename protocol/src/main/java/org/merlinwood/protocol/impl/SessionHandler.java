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
 * Handles an authenticated connection: passes frames to exchanges, sends heartbeats while an exchange is open, and
 * closes idle and silent connections. Each connection has its own handler, confined to its event loop.
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
            connection.onRevisions(WireValues.fromWire(frame.getHeartbeat().getRevisions()));
            return;
        }
        connection.onFrame(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timer.remove(this);
        connection.onChannelClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("closing the connection to %s after an exception", connection.peer());
        connection.close(codeOf(cause));
    }

    static ResultCode codeOf(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return ResultCode.FRAME_TOO_LARGE;
        }
        return cause instanceof IOException ? ResultCode.CONNECTION_LOST : ResultCode.PROTOCOL_VIOLATION;
    }

    /** Checks heartbeats and idle time. Called periodically by the {@link SessionTimer} of the event loop. */
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
            checkHeartbeats(nowMillis);
        } else if (closesWhenIdle && connection.isIdle()) {
            connection.close(ResultCode.CANCELLED);
        }
    }

    private void checkHeartbeats(long nowMillis) {
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
