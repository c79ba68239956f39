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
 * Authenticates both sides of a new connection and then replaces itself by a {@link SessionHandler}.
 *
 * <p>The frames of a handshake are Hello, Challenge with the proof of the accepting side, Proof of the connecting side,
 * and Welcome. Any other frame, a wrong proof or a timeout closes the connection without a response. Each connection
 * has its own handler, confined to its event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Netty reports a failed write to exceptionCaught
abstract sealed class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {

    static final int PROTOCOL_VERSION = 1;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    final EndpointContext endpointContext;
    private final FrameCodec codec;
    private ScheduledFuture<?> timeout;
    private boolean done;

    private HandshakeHandler(EndpointContext endpointContext, FrameCodec codec) {
        this.endpointContext = endpointContext;
        this.codec = codec;
    }

    // ------------------------------------------------------------------ life-cycle

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeout = context.executor()
                .schedule(
                        () -> refuse(context, ResultCode.PEER_SILENT),
                        endpointContext.limits().handshakeMillis(),
                        TimeUnit.MILLISECONDS);
        startHandshake(context);
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

    /** Called when the connection is established. */
    abstract void startHandshake(ChannelHandlerContext context);

    /** Returns whether this process opened the connection. */
    abstract boolean isConnectingSide();

    /** Called once when the handshake failed. */
    abstract void onRefused(ResultCode code);

    final void refuse(ChannelHandlerContext context, ResultCode code) {
        if (done) {
            return;
        }
        done = true;
        timeout.cancel(false);
        logger.atFine().log("handshake with %s failed: %s", context.channel().remoteAddress(), code);
        endpointContext.observer().onRefused(code);
        context.close();
        onRefused(code);
    }

    final NettyPeerConnection succeed(ChannelHandlerContext context, Identity peer) {
        done = true;
        timeout.cancel(false);
        codec.raiseLimit(endpointContext.limits().maximumFrameBytes());
        NettyPeerConnection connection = new NettyPeerConnection(
                context.channel(),
                toIdentity(peer),
                isConnectingSide(),
                endpointContext.limits(),
                endpointContext.observer(),
                endpointContext.acceptors());
        SessionHandler session = new SessionHandler(
                connection,
                endpointContext.limits(),
                endpointContext.revisions(),
                isConnectingSide(),
                endpointContext.timer(context.executor()));
        context.pipeline().replace(this, "session", session);
        endpointContext.observer().onOpened(connection);
        return connection;
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Returns whether an identity has all fields and a known role. */
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

    /** Handshake on the side that opened the connection. */
    static final class Connecting extends HandshakeHandler {

        private final ConnectListener listener;
        private Hello hello;
        private Identity acceptingIdentity;

        Connecting(EndpointContext endpointContext, FrameCodec codec, ConnectListener listener) {
            super(endpointContext, codec);
            this.listener = listener;
        }

        @Override
        boolean isConnectingSide() {
            return true;
        }

        @Override
        void onRefused(ResultCode code) {
            listener.onFailed(code);
        }

        @Override
        void startHandshake(ChannelHandlerContext context) {
            hello = Hello.newBuilder()
                    .setVersion(PROTOCOL_VERSION)
                    .setIdentity(toWire(endpointContext.identity()))
                    .setNonce(ByteString.copyFrom(newNonce()))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setHello(hello).build(), context.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            switch (frame.getBodyCase()) {
                case CHALLENGE -> respondToChallenge(context, frame.getChallenge());
                case WELCOME -> completeHandshake(context, frame.getWelcome());
                default -> refuse(context, ResultCode.PROTOCOL_VIOLATION);
            }
        }

        private void respondToChallenge(ChannelHandlerContext context, Challenge challenge) {
            boolean authentic = challenge.getVersion() == PROTOCOL_VERSION
                    && isUsable(challenge.getIdentity())
                    && endpointContext.proof().acceptingSideIsAuthentic(hello, challenge);
            if (!authentic) {
                refuse(context, ResultCode.AUTHENTICATION_FAILED);
                return;
            }
            acceptingIdentity = challenge.getIdentity();
            AuthenticationKey key =
                    endpointContext.proof().key(challenge.getKeyIdentifier()).orElseThrow();
            byte[] proof = endpointContext
                    .proof()
                    .ofConnectingSide(
                            key, hello, acceptingIdentity, challenge.getNonce().toByteArray());
            Proof response = Proof.newBuilder()
                    .setKeyIdentifier(key.identifier())
                    .setProof(ByteString.copyFrom(proof))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setProof(response).build(), context.voidPromise());
        }

        private void completeHandshake(ChannelHandlerContext context, Welcome welcome) {
            if (acceptingIdentity == null) {
                refuse(context, ResultCode.PROTOCOL_VIOLATION);
                return;
            }
            NettyPeerConnection connection = succeed(context, acceptingIdentity);
            connection.onRevisions(WireValues.fromWire(welcome.getRevisions()));
            listener.onConnected(connection);
        }
    }

    /** Handshake on the side that accepted the connection. */
    static final class Accepting extends HandshakeHandler {

        private final byte[] ownNonce = newNonce();
        private Hello hello;

        Accepting(EndpointContext endpointContext, FrameCodec codec) {
            super(endpointContext, codec);
        }

        @Override
        boolean isConnectingSide() {
            return false;
        }

        @Override
        void onRefused(ResultCode code) {
            endpointContext.releaseUnauthenticatedSlot();
        }

        @Override
        void startHandshake(ChannelHandlerContext context) {
            if (!endpointContext.acquireUnauthenticatedSlot()) {
                refuse(context, ResultCode.NO_CAPACITY);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            switch (frame.getBodyCase()) {
                case HELLO -> sendChallenge(context, frame.getHello());
                case PROOF -> verifyProof(context, frame.getProof());
                default -> refuse(context, ResultCode.PROTOCOL_VIOLATION);
            }
        }

        private void sendChallenge(ChannelHandlerContext context, Hello received) {
            boolean usable =
                    hello == null && received.getVersion() == PROTOCOL_VERSION && isUsable(received.getIdentity());
            if (!usable) {
                refuse(context, ResultCode.PROTOCOL_VIOLATION);
                return;
            }
            hello = received;
            AuthenticationKey key = endpointContext.proof().preferredKey();
            Identity self = toWire(endpointContext.identity());
            Challenge challenge = Challenge.newBuilder()
                    .setVersion(PROTOCOL_VERSION)
                    .setIdentity(self)
                    .setNonce(ByteString.copyFrom(ownNonce))
                    .setKeyIdentifier(key.identifier())
                    .setProof(ByteString.copyFrom(endpointContext.proof().ofAcceptingSide(key, hello, self, ownNonce)))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build(), context.voidPromise());
        }

        private void verifyProof(ChannelHandlerContext context, Proof proof) {
            boolean authentic = hello != null
                    && endpointContext
                            .proof()
                            .connectingSideIsAuthentic(
                                    proof.getKeyIdentifier(),
                                    proof.getProof().toByteArray(),
                                    hello,
                                    toWire(endpointContext.identity()),
                                    ownNonce);
            if (!authentic) {
                refuse(context, ResultCode.AUTHENTICATION_FAILED);
                return;
            }
            endpointContext.releaseUnauthenticatedSlot();
            Welcome welcome = Welcome.newBuilder()
                    .setRevisions(WireValues.toWire(endpointContext.revisions().get()))
                    .build();
            context.writeAndFlush(Frame.newBuilder().setWelcome(welcome).build(), context.voidPromise());
            succeed(context, hello.getIdentity());
        }
    }
}
