package org.merlinwood.protocol.impl;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
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
    private final MillisClock clock = SystemMillisClock.shared();
    private long lastReceivedMillis = clock.monotonicMillis();
    private boolean hadExchanges;
    private ScheduledFuture<?> silenceCheck;

    SessionHandler(
            NettyPeerConnection connection,
            ProtocolLimits limits,
            Supplier<Revisions> revisions,
            boolean closesWhenIdle) {
        this.connection = connection;
        this.limits = limits;
        this.revisions = revisions;
        this.closesWhenIdle = closesWhenIdle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        silenceCheck = context.executor()
                .scheduleAtFixedRate(
                        () -> checkSilence(context),
                        limits.heartbeatMillis(),
                        limits.heartbeatMillis(),
                        TimeUnit.MILLISECONDS);
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
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean quiet = event instanceof IdleStateEvent idle && idle.state() == IdleState.WRITER_IDLE;
        if (quiet && connection.hasExchanges()) {
            connection.send(heartbeat());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        silenceCheck.cancel(false);
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

    private void checkSilence(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            return;
        }
        boolean hasExchanges = connection.hasExchanges();
        long now = clock.monotonicMillis();
        if (hasExchanges && !hadExchanges) {
            lastReceivedMillis = now;
        }
        hadExchanges = hasExchanges;
        if (hasExchanges && now - lastReceivedMillis >= limits.silenceMillis()) {
            connection.close(ResultCode.PEER_SILENT);
        } else if (closesWhenIdle && connection.isIdle()) {
            connection.close(ResultCode.CANCELLED);
        }
    }

    private Frame heartbeat() {
        Heartbeat body = Heartbeat.newBuilder()
                .setRevisions(WireValues.toWire(revisions.get()))
                .build();
        return Frame.newBuilder().setHeartbeat(body).build();
    }
}
