package org.merlinwood.gateway.front;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.merlinwood.gateway.loop.EventLoop;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Accepts the connections of callers. Confined to the event loop, apart from {@link #start} and {@link #close}. */
public final class CallerListener implements CallerEndpoint {

    /** Connections that the operating system may hold for this process. */
    private static final int BACKLOG = 1_000;

    private final InetSocketAddress address;
    private final XnioWorker worker;
    private final HttpOpenListener openListener;
    private final CallerConnections connections;
    private final EventLoop loop;
    private AcceptingChannel<StreamConnection> server;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param address address to listen on
     * @param worker has the I/O thread that processes all connections
     * @param buffers pool for the bytes of requests and responses
     * @param options options of the HTTP connections
     * @param handler handles the requests
     * @param connections receives each connection
     * @param loop the event loop on the I/O thread of the worker
     */
    public CallerListener(
            InetSocketAddress address,
            XnioWorker worker,
            ByteBufferPool buffers,
            OptionMap options,
            HttpHandler handler,
            CallerConnections connections,
            EventLoop loop) {
        this.address = address;
        this.worker = worker;
        this.openListener = new HttpOpenListener(buffers, options);
        this.openListener.setRootHandler(handler);
        this.connections = connections;
        this.loop = loop;
    }

    /**
     * Starts to listen. Call once, on any thread.
     *
     * @throws UncheckedIOException if the address can't be bound
     */
    public void start() {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, connections.maximumCount())
                .set(Options.CONNECTION_LOW_WATER, connections.maximumCount() - 1)
                .getMap();
        try {
            server = worker.createStreamConnectionServer(
                    address, ChannelListeners.openListenerAdapter(this::open), options);
        } catch (IOException exception) {
            throw new UncheckedIOException("could not listen on " + address, exception);
        }
        server.resumeAccepts();
    }

    /** Stops listening. Open connections stay open. May be called on any thread. */
    public void close() {
        IoUtils.safeClose(server);
    }

    /** Uses a deprecated method, since XNIO has no other one that accepts what is pending on request. */
    @Override
    @SuppressWarnings("deprecation")
    public void stopListening() {
        server.wakeupAccepts();
        loop.execute(this::close);
    }

    @Override
    public void closeIdleConnections(long unusedMillis) {
        connections.readUnread();
        loop.execute(() -> connections.closeIdle(unusedMillis));
    }

    @Override
    public int openConnections() {
        return connections.countOpen();
    }

    @Override
    public void recordExit() {
        connections.recordExit();
    }

    @Override
    public int connectionsWithoutRequest() {
        return connections.countWithoutRequest();
    }

    private void open(StreamConnection connection) {
        connections.add(connection);
        openListener.handleEvent(connection);
    }
}
