package org.merlinwood.protocol.impl;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.PeerRole;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.Challenge;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.Hello;
import org.merlinwood.wire.Identity;
import org.merlinwood.wire.ProcessRole;
import org.merlinwood.wire.Proof;
import org.merlinwood.wire.Welcome;

/**
 * Authenticates both sides of a new connection, then makes way for a {@link SessionHandler}.
 *
 * <p>Hello, Challenge with the accepting side's proof, Proof of the connecting side, Welcome. Any other frame, a wrong
 * proof or a timeout closes the connection without a word. One for each connection; used by its event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Netty reports a failed write to exceptionCaught
abstract sealed class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {

    static final int PROTOCOL_VERSION = 1;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    final EndpointContext shared;
    private final FrameCodec codec;
    private ScheduledFuture<?> timeout;
    private boolean done;

    private HandshakeHandler(EndpointContext shared, FrameCodec codec) {
        this.shared = shared;
        this.codec = codec;
    }

    // ------------------------------------------------------------------ life-cycle

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeout = context.executor()
                .schedule(
                        () -> refuse(context, ResultCode.PEER_SILENT),
                        shared.limits().handshakeMillis(),
                        TimeUnit.MILLISECONDS);
        begin(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!done) {
            refuse(context, ResultCode.CONNECTION_LOST);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        refuse(context, SessionHandler.codeOf(cause));
    }

    // ------------------------------------------------------------------ internals

    abstract void begin(ChannelHandlerContext context);

    abstract boolean connectingSide();

    abstract void refused(ResultCode code);

    final void refuse(ChannelHandlerContext context, ResultCode code) {
        if (done) {
            return;
        }
        done = true;
        timeout.cancel(false);
        logger.atFine().log("a handshake with %s failed: %s", context.channel().remoteAddress(), code);
        shared.observer().onRefused(code);
        context.close();
        refused(code);
    }

    final NettyPeerConnection succeed(ChannelHandlerContext context, Identity peer) {
        done = true;
        timeout.cancel(false);
        codec.raiseLimit(shared.limits().maximumFrameBytes());
        NettyPeerConnection connection = new NettyPeerConnection(
                context.channel(),
                toIdentity(peer),
                connectingSide(),
                shared.limits(),
                shared.observer(),
                shared.acceptors());
        SessionHandler session = new SessionHandler(
                connection, shared.limits(), shared.revisions(), connectingSide(), shared.timer(context.executor()));
        context.pipeline().replace(this, "session", session);
        shared.observer().onOpened(connection);
        return connection;
    }

    static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    static boolean isUsable(Identity identity) {
        return !identity.getInstance().isBlank()
                && identity.getIncarnation() != 0
                && identity.getRole() != ProcessRole.PROCESS_ROLE_UNSPECIFIED
                && identity.getRole() != ProcessRole.UNRECOGNIZED;
    }

    static Identity toWire(PeerIdentity identity) {
        return Identity.newBuilder()
                .setInstance(identity.instance().value())
                .setIncarnation(identity.incarnation().value())
                .setRole(ProcessRole.valueOf(identity.role().name()))
                .build();
    }

    private static PeerIdentity toIdentity(Identity identity) {
        return new PeerIdentity(
                new InstanceName(identity.getInstance()),
                new Incarnation(identity.getIncarnation()),
                PeerRole.valueOf(identity.getRole().name()));
    }

    /** The side that opened the connection. */
    static final class Connecting extends HandshakeHandler {

        private final ConnectingResult result;
        private Hello hello;
        private Identity acceptingIdentity;

        Connecting(EndpointContext shared, FrameCodec codec, ConnectingResult result) {
            super(shared, codec);
            this.result = result;
        }

        @Override
        boolean connectingSide() {
            return true;
        }

        @Override
        void refused(ResultCode code) {
            result.failed(code);
        }

        @Override
        void begin(ChannelHandlerContext context) {
            hello = Hello.newBuilder()
                    .setVersion(PROTOCOL_VERSION)
                    .setIdentity(toWire(shared.identity()))
                    .setNonce(ByteString.copyFrom(nonce()))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setHello(hello).build(), context.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            switch (frame.getBodyCase()) {
                case CHALLENGE -> answerChallenge(context, frame.getChallenge());
                case WELCOME -> finish(context, frame.getWelcome());
                default -> refuse(context, ResultCode.PROTOCOL_VIOLATION);
            }
        }

        private void answerChallenge(ChannelHandlerContext context, Challenge challenge) {
            boolean authentic = challenge.getVersion() == PROTOCOL_VERSION
                    && isUsable(challenge.getIdentity())
                    && shared.proof().acceptingSideIsAuthentic(hello, challenge);
            if (!authentic) {
                refuse(context, ResultCode.AUTHENTICATION_FAILED);
                return;
            }
            acceptingIdentity = challenge.getIdentity();
            AuthenticationKey key =
                    shared.proof().key(challenge.getKeyIdentifier()).orElseThrow();
            byte[] proof = shared.proof()
                    .ofConnectingSide(
                            key, hello, acceptingIdentity, challenge.getNonce().toByteArray());
            Proof answer = Proof.newBuilder()
                    .setKeyIdentifier(key.identifier())
                    .setProof(ByteString.copyFrom(proof))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setProof(answer).build(), context.voidPromise());
        }

        private void finish(ChannelHandlerContext context, Welcome welcome) {
            if (acceptingIdentity == null) {
                refuse(context, ResultCode.PROTOCOL_VIOLATION);
                return;
            }
            NettyPeerConnection connection = succeed(context, acceptingIdentity);
            connection.revisionsReceived(WireValues.fromWire(welcome.getRevisions()));
            result.succeeded(connection);
        }
    }

    /** The side that accepted the connection. */
    static final class Accepting extends HandshakeHandler {

        private final byte[] ownNonce = nonce();
        private Hello hello;

        Accepting(EndpointContext shared, FrameCodec codec) {
            super(shared, codec);
        }

        @Override
        boolean connectingSide() {
            return false;
        }

        @Override
        void refused(ResultCode code) {
            shared.unauthenticatedEnded();
        }

        @Override
        void begin(ChannelHandlerContext context) {
            if (!shared.unauthenticatedBegan()) {
                refuse(context, ResultCode.NO_CAPACITY);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            switch (frame.getBodyCase()) {
                case HELLO -> challenge(context, frame.getHello());
                case PROOF -> verify(context, frame.getProof());
                default -> refuse(context, ResultCode.PROTOCOL_VIOLATION);
            }
        }

        private void challenge(ChannelHandlerContext context, Hello received) {
            boolean usable =
                    hello == null && received.getVersion() == PROTOCOL_VERSION && isUsable(received.getIdentity());
            if (!usable) {
                refuse(context, ResultCode.PROTOCOL_VIOLATION);
                return;
            }
            hello = received;
            AuthenticationKey key = shared.proof().preferredKey();
            Identity self = toWire(shared.identity());
            Challenge challenge = Challenge.newBuilder()
                    .setVersion(PROTOCOL_VERSION)
                    .setIdentity(self)
                    .setNonce(ByteString.copyFrom(ownNonce))
                    .setKeyIdentifier(key.identifier())
                    .setProof(ByteString.copyFrom(shared.proof().ofAcceptingSide(key, hello, self, ownNonce)))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build(), context.voidPromise());
        }

        private void verify(ChannelHandlerContext context, Proof proof) {
            boolean authentic = hello != null
                    && shared.proof()
                            .connectingSideIsAuthentic(
                                    proof.getKeyIdentifier(),
                                    proof.getProof().toByteArray(),
                                    hello,
                                    toWire(shared.identity()),
                                    ownNonce);
            if (!authentic) {
                refuse(context, ResultCode.AUTHENTICATION_FAILED);
                return;
            }
            shared.unauthenticatedEnded();
            Welcome welcome = Welcome.newBuilder()
                    .setRevisions(WireValues.toWire(shared.revisions().get()))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build(), context.voidPromise());
            succeed(context, hello.getIdentity());
        }
    }
}
