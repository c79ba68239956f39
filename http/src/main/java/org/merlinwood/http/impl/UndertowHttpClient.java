package org.merlinwood.http.impl;

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
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The client on Undertow. Thread-safe; owns its I/O threads from construction to {@link #close()}. */
public final class UndertowHttpClient implements HttpClient {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAXIMUM_POOLED_BUFFERS = 256;

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, 0);
    private final ConnectionPool pool = new ConnectionPool(SystemMillisClock.shared());

    // ------------------------------------------------------------------ life-cycle

    /**
     * Creates a client and starts its threads.
     *
     * @param name prefix of the names of its threads
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
            throw new UncheckedIOException("the HTTP client could not start its threads", exception);
        }
    }

    /**
     * Creates a client that works on threads which belong to another.
     *
     * @param worker the threads; left running at the end
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

    // ------------------------------------------------------------------ public API

    @Override
    public HttpStream send(HttpRequest call, HttpListener listener) {
        ActiveHttpRequest progress = new ActiveHttpRequest(call, listener, connection -> release(call, connection));
        Optional<ClientConnection> idle =
                call.connectionUse() == ConnectionUse.POOLED ? pool.acquire(call.address()) : Optional.empty();
        if (idle.isPresent()) {
            progress.start(idle.get());
        } else {
            connect(call, progress);
        }
        return progress;
    }

    @Override
    public CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest call) {
        CompletableFuture<Either<Failure, HttpResponse>> result = new CompletableFuture<>();
        send(call, new ResponseCollector(result::complete));
        return result;
    }

    @Override
    public HttpStream execute(HttpRequest call, Consumer<Either<Failure, HttpResponse>> consumer) {
        return send(call, new ResponseCollector(consumer));
    }

    // ------------------------------------------------------------------ internals

    private void connect(HttpRequest call, ActiveHttpRequest progress) {
        XnioIoThread thread = worker.getIoThread();
        progress.limitConnecting(thread);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                progress.start(connection);
                            }

                            @Override
                            public void failed(IOException exception) {
                                progress.fail(unreachable(call.address(), exception));
                            }
                        },
                        uri(call.address()),
                        thread,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void release(HttpRequest call, ClientConnection connection) {
        if (call.connectionUse() == ConnectionUse.POOLED) {
            pool.release(call.address(), connection);
        } else {
            IoUtils.safeClose(connection);
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
