package org.merlinwood.entry.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.entry.dispatch.Dispatcher;
import org.merlinwood.entry.dispatch.EntryMetrics;
import org.merlinwood.entry.filter.ClassifyFilter;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.http.HeldBytes;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP server for callers. Started, drained and closed once; thread-safe.
 *
 * <p>{@link #drain()} only closes the listening socket. Open requests continue, and their connections are closed after
 * the response.
 */
public final class CallerServer implements AutoCloseable {

    private static final int IO_THREADS = 4;
    private static final int NO_REQUEST_TIMEOUT_MILLIS = (int) TimeUnit.SECONDS.toMillis(60);
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = (int) TimeUnit.SECONDS.toMillis(10);

    /**
     * The limits of Undertow's parser are higher than those of {@link CallerHandler}, which responds with a result
     * code.
     */
    private static final int PARSER_MAXIMUM_HEADERS = 40 * CallerHandler.MAXIMUM_HEADERS;

    private static final int PARSER_MAXIMUM_HEADER_BYTES = 2 * CallerHandler.MAXIMUM_HEADER_BYTES;

    private final CallerHandler handler;
    private final XnioWorker worker;
    private final Undertow server;
    private InetSocketAddress boundAddress;

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates the server. It does not listen until it is started.
     *
     * @param address numeric address to listen on; port 0 selects a free port
     * @param configuration returns the active inventory and rules, empty if there are none yet
     * @param classifyFilter classifies requests
     * @param dispatcher runs classified requests
     * @param metrics counts refused requests
     * @param clock the clock
     */
    public CallerServer(
            InetSocketAddress address,
            Supplier<Optional<ActiveConfiguration>> configuration,
            ClassifyFilter classifyFilter,
            Dispatcher dispatcher,
            EntryMetrics metrics,
            MillisClock clock) {
        this.handler = new CallerHandler(
                configuration,
                classifyFilter,
                dispatcher,
                metrics,
                clock,
                HeldBytes.ofHeap(Runtime.getRuntime().maxMemory(), clock));
        this.worker = createWorker();
        this.server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(address.getPort(), address.getHostString())
                .setServerOption(UndertowOptions.MAX_HEADERS, PARSER_MAXIMUM_HEADERS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, PARSER_MAXIMUM_HEADER_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NO_REQUEST_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.URL_CHARSET, "UTF-8")
                .setHandler(handler)
                .build();
    }

    /** Starts listening. */
    public void start() {
        server.start();
        boundAddress = (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    }

    /** Stops listening and asks callers with open requests to close their connections. */
    public void drain() {
        handler.drain();
        server.stop();
    }

    @Override
    public void close() {
        server.stop();
        worker.shutdownNow();
    }

    // ------------------------------------------------------------------ public API

    /**
     * Returns the address to which the server is bound.
     *
     * @return the address with the actual port, or null before {@link #start()}
     */
    public InetSocketAddress boundAddress() {
        return boundAddress;
    }

    /**
     * Returns the number of requests that are being read or processed, or whose response is being written.
     *
     * @return the current number; may change concurrently
     */
    public int openRequests() {
        return handler.openExchanges();
    }

    // ------------------------------------------------------------------ internals

    private static XnioWorker createWorker() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, "callers")
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        try {
            return Xnio.getInstance().createWorker(options);
        } catch (IOException exception) {
            throw new UncheckedIOException("the I/O threads of the caller server could not be started", exception);
        }
    }
}
