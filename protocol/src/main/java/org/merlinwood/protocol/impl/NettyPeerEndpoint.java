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

/** Netty implementation of the endpoint. Thread-safe; owns its event loops from construction to {@link #close()}. */
public final class NettyPeerEndpoint implements PeerEndpoint {

    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private final EndpointContext endpointContext;
    private final Optional<InetSocketAddress> listenAddress;
    private final EventLoopGroup eventLoops;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<InetSocketAddress, CompletableFuture<Either<Failure, PeerConnection>>> connections =
            new HashMap<>();
    private volatile Channel serverChannel;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates an endpoint; called by the builder of {@link PeerEndpoint}.
     *
     * @param identity identity of this process
     * @param keys the valid keys
     * @param listenAddress address to listen on, empty to accept no connections
     * @param limits limits on connections
     * @param revisions returns the active revisions
     * @param observer receives connection events
     * @param threads number of event loop threads
     * @param acceptors acceptors of exchanges by the kind of the first frame
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
        this.endpointContext = new EndpointContext(
                identity,
                new HandshakeProof(keys),
                limits,
                revisions,
                observer,
                acceptors,
                new AtomicInteger(),
                new ConcurrentHashMap<>());
        this.listenAddress = listenAddress;
        this.eventLoops = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    }

    @Override
    public void start() {
        listenAddress.ifPresent(this::listen);
    }

    @Override
    public void stopListening() {
        Channel current = serverChannel;
        if (current != null) {
            current.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        }
    }

    @Override
    public void close() {
        stopListening();
        channels.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        eventLoops
                .shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    // ------------------------------------------------------------------ public API

    @Override
    public InetSocketAddress boundAddress() {
        if (serverChannel == null) {
            throw new IllegalStateException("the endpoint is not listening");
        }
        return (InetSocketAddress) serverChannel.localAddress();
    }

    @Override
    public CompletionStage<Either<Failure, PeerConnection>> connect(InetSocketAddress address) {
        CompletableFuture<Either<Failure, PeerConnection>> created;
        synchronized (connections) {
            CompletableFuture<Either<Failure, PeerConnection>> existing = connections.get(address);
            if (existing != null && isUsable(existing)) {
                return existing;
            }
            connections.values().removeIf(previous -> !isUsable(previous));
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

    private static boolean isUsable(CompletableFuture<Either<Failure, PeerConnection>> connection) {
        Either<Failure, PeerConnection> result = connection.getNow(null);
        return result == null || result.exists(PeerConnection::isOpen);
    }

    private void listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameCodec codec = initializeChannel(channel);
                        channel.pipeline().addLast("handshake", new HandshakeHandler.Accepting(endpointContext, codec));
                    }
                });
        try {
            serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
        } catch (RuntimeException exception) {
            throw new UncheckedIOException("can't listen on " + address, new IOException(exception));
        }
    }

    private void open(InetSocketAddress address, CompletableFuture<Either<Failure, PeerConnection>> result) {
        ConnectListener listener = new ConnectListener() {
            @Override
            public void onConnected(NettyPeerConnection connection) {
                result.complete(Either.right(connection));
            }

            @Override
            public void onFailed(ResultCode code) {
                result.complete(Either.left(connectFailure(address, code)));
            }
        };
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        endpointContext.limits().handshakeMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameCodec codec = initializeChannel(channel);
                        channel.pipeline().addLast(new HandshakeHandler.Connecting(endpointContext, codec, listener));
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        listener.onFailed(ResultCode.UPSTREAM_UNREACHABLE);
                    }
                });
    }

    private FrameCodec initializeChannel(Channel channel) {
        channels.add(channel);
        FrameCodec codec = new FrameCodec(endpointContext.limits().maximumHandshakeFrameBytes());
        channel.pipeline().addLast(codec);
        return codec;
    }

    private static Failure connectFailure(InetSocketAddress address, ResultCode code) {
        return Failure.of(code, "failed to connect to " + address).withExecutionState(ExecutionState.NOT_RUN);
    }
}
