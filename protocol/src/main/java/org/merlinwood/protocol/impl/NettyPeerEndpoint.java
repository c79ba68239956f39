package org.merlinwood.protocol.impl;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.protocol.ExchangeAcceptor;
import org.merlinwood.protocol.PeerConnection;
import org.merlinwood.protocol.PeerEndpoint;
import org.merlinwood.protocol.PeerIdentity;
import org.merlinwood.protocol.ProtocolLimits;
import org.merlinwood.protocol.ProtocolObserver;
import org.merlinwood.wire.Frame;

/** The endpoint on Netty. Thread-safe; owns its event loops from construction to {@link #close()}. */
public final class NettyPeerEndpoint implements PeerEndpoint {

    private static final long CLOSE_QUIET_MILLIS = 0;
    private static final long CLOSE_LIMIT_MILLIS = 1_000;

    private final EndpointContext shared;
    private final Optional<InetSocketAddress> listenAddress;
    private final EventLoopGroup loops;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<InetSocketAddress, CompletableFuture<Either<Failure, PeerConnection>>> connections =
            new HashMap<>();
    private volatile Channel listening;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an endpoint; called by the builder of {@link PeerEndpoint}.
     *
     * @param identity who this process is
     * @param keys the valid keys
     * @param listenAddress where to listen, empty for nowhere
     * @param limits bounds on connections
     * @param revisions returns the revisions in force
     * @param observer hears of connections
     * @param threads number of event loops
     * @param acceptors accept exchanges by their first frame
     */
    public NettyPeerEndpoint(
            PeerIdentity identity,
            List<AuthenticationKey> keys,
            Optional<InetSocketAddress> listenAddress,
            ProtocolLimits limits,
            Supplier<Revisions> revisions,
            ProtocolObserver observer,
            int threads,
            Map<Frame.BodyCase, ExchangeAcceptor> acceptors) {
        this.shared = new EndpointContext(
                identity,
                new HandshakeProof(keys),
                limits,
                revisions,
                observer,
                acceptors,
                new AtomicInteger(),
                new ConcurrentHashMap<>());
        this.listenAddress = listenAddress;
        this.loops = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    }

    @Override
    public void start() {
        listenAddress.ifPresent(this::listen);
    }

    @Override
    public void stopListening() {
        Channel current = listening;
        if (current != null) {
            current.close().awaitUninterruptibly(CLOSE_LIMIT_MILLIS);
        }
    }

    @Override
    public void close() {
        stopListening();
        channels.close().awaitUninterruptibly(CLOSE_LIMIT_MILLIS);
        loops.shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_LIMIT_MILLIS);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public InetSocketAddress boundAddress() {
        if (listening == null) {
            throw new IllegalStateException("the endpoint does not listen");
        }
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public CompletionStage<Either<Failure, PeerConnection>> connect(InetSocketAddress address) {
        CompletableFuture<Either<Failure, PeerConnection>> created;
        synchronized (connections) {
            CompletableFuture<Either<Failure, PeerConnection>> known = connections.get(address);
            if (known != null && isUsable(known)) {
                return known;
            }
            connections.values().removeIf(former -> !isUsable(former));
            created = new CompletableFuture<>();
            connections.put(address, created);
        }
        open(address, created);
        return created;
    }

    @Override
    public int openConnections() {
        return channels.size();
    }

    // ------------------------------------------------------------------ internals

    private static boolean isUsable(CompletableFuture<Either<Failure, PeerConnection>> known) {
        Either<Failure, PeerConnection> result = known.getNow(null);
        return result == null || result.exists(PeerConnection::isOpen);
    }

    private void listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameCodec codec = prepare(channel);
                        channel.pipeline().addLast("handshake", new HandshakeHandler.Accepting(shared, codec));
                    }
                });
        try {
            listening = bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException exception) {
            throw new UncheckedIOException("can't listen on " + address, new IOException(exception));
        }
    }

    private void open(InetSocketAddress address, CompletableFuture<Either<Failure, PeerConnection>> result) {
        ConnectingResult outcome = new ConnectingResult() {
            @Override
            public void succeeded(NettyPeerConnection connection) {
                result.complete(Either.right(connection));
            }

            @Override
            public void failed(ResultCode code) {
                result.complete(Either.left(notConnected(address, code)));
            }
        };
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        shared.limits().handshakeMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameCodec codec = prepare(channel);
                        channel.pipeline().addLast(new HandshakeHandler.Connecting(shared, codec, outcome));
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        outcome.failed(ResultCode.UPSTREAM_UNREACHABLE);
                    }
                });
    }

    private FrameCodec prepare(Channel channel) {
        channels.add(channel);
        FrameCodec codec = new FrameCodec(shared.limits().maximumHandshakeFrameBytes());
        channel.pipeline().addLast(codec);
        return codec;
    }

    private static Failure notConnected(InetSocketAddress address, ResultCode code) {
        return Failure.of(code, "no connection to " + address).withExecutionState(ExecutionState.NOT_RUN);
    }
}
