package org.merlinwood.http.impl;

import com.google.common.flogger.FluentLogger;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.ConnectionCounts;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;
import org.merlinwood.http.ResponseCollector;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client on Undertow. Thread-safe. The I/O threads are its own, started by the constructor and stopped by
 * {@link #close()}, or belong to a worker that the client shares.
 */
public final class UndertowHttpClient implements HttpClient {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAXIMUM_POOLED_BUFFERS = 256;

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, 0);
    private final ConnectionPool pool = new ConnectionPool(SystemMillisClock.shared());
    private final ConnectionTracker tracker = new ConnectionTracker();

    /**
     * Creates a client with its own I/O threads and starts them.
     *
     * @param name prefix of the thread names
     * @param ioThreads number of I/O threads, positive
     */
    public UndertowHttpClient(String name, int ioThreads) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        ownsWorker = true;
        try {
            this.worker = Xnio.getInstance().createWorker(options);
        } catch (IOException exception) {
            throw new UncheckedIOException("could not start the I/O threads of the HTTP client", exception);
        }
    }

    /**
     * Creates a client that shares the I/O threads of another component.
     *
     * @param worker the I/O threads; {@link #close()} keeps them running
     */
    public UndertowHttpClient(XnioWorker worker) {
        this.worker = worker;
        ownsWorker = false;
    }

    @Override
    public void close() {
        pool.closeAll();
        if (ownsWorker) {
            worker.shutdown();
        }
    }

    @Override
    public HttpStream send(HttpRequest request, HttpListener listener) {
        ActiveHttpRequest activeRequest =
                new ActiveHttpRequest(request, listener, tracker, connection -> release(request, connection));
        Optional<ClientConnection> idle =
                request.connectionUse() == ConnectionUse.POOLED ? pool.acquire(request.address()) : Optional.empty();
        if (idle.isPresent()) {
            activeRequest.start(idle.get());
        } else {
            connect(request, activeRequest);
        }
        return activeRequest;
    }

    @Override
    public CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest request) {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        execute(request, result::complete);
        return result;
    }

    @Override
    public HttpStream execute(HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer) {
        long timeoutMillis = Math.min(request.readTimeoutMillis(), request.responseTimeoutMillis());
        return send(request.withResponseTimeout(timeoutMillis), new ResponseCollector(consumer));
    }

    @Override
    public ConnectionCounts connectionCounts() {
        return new ConnectionCounts(tracker.openCount(), tracker.inUseCount(), pool.idleCount());
    }

    private void connect(HttpRequest request, ActiveHttpRequest activeRequest) {
        GuardingIoThread thread = new GuardingIoThread(worker.getIoThread());
        activeRequest.startConnectTimeout(thread);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                tracker.opened(connection, thread.guard());
                                activeRequest.start(connection);
                            }

                            @Override
                            public void failed(IOException exception) {
                                reportLater(
                                        thread, () -> activeRequest.fail(unreachable(request.address(), exception)));
                            }
                        },
                        uri(request.address()),
                        thread,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** Reports the end of a request whose sender may not have it yet; at once if its I/O thread has stopped. */
    private static void reportLater(XnioIoThread thread, Runnable report) {
        try {
            thread.execute(report);
        } catch (RejectedExecutionException exception) {
            logger.atFine().withCause(exception).log("the I/O thread has stopped; reporting on this thread");
            report.run();
        }
    }

    private void release(HttpRequest request, ClientConnection connection) {
        if (request.connectionUse() == ConnectionUse.POOLED) {
            pool.release(request.address(), connection);
        } else {
            ConnectionCloser.close(connection);
        }
    }

    private static Failure unreachable(InetSocketAddress address, IOException exception) {
        return Failure.of(
                        ResultCode.UPSTREAM_UNREACHABLE,
                        "no connection to " + address.getAddress().getHostAddress() + ":" + address.getPort() + ": "
                                + exception.getMessage())
                .withExecutionState(ExecutionState.NOT_RUN);
    }

    private static URI uri(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        String bracketed = host.contains(":") ? "[" + host + "]" : host;
        return URI.create("http://" + bracketed + ":" + address.getPort());
    }
}
