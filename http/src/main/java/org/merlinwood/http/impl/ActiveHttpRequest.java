package org.merlinwood.http.impl;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.core.time.SystemMillisClock;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.xnio.ChannelListeners;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request in progress, from connecting to the end of the response.
 *
 * <p>After {@link #start} all I/O happens on the I/O thread of the connection. {@link #cancel()} and the timeouts may
 * run on any thread; the first of completion, failure and cancellation takes effect and the others are ignored.
 */
final class ActiveHttpRequest implements HttpStream {

    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /**
     * Lateness of a timer, in milliseconds, from which on the I/O thread is taken to have stood still; also the time
     * that it then gets for what has arrived.
     */
    private static final long STALL_MILLIS = 20;

    /** Method of requests whose responses have no body. */
    private static final String HEAD_METHOD = "HEAD";

    /** Methods whose requests carry no Content-Length if the body is empty. */
    private static final Set<String> BODILESS_METHODS = Set.of("GET", "HEAD", "DELETE");

    private final MillisClock clock = SystemMillisClock.shared();
    private final HttpRequest request;
    private final HttpListener listener;
    private final ConnectionTracker tracker;
    private final Consumer<ClientConnection> connectionReleaser;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile ClientConnection connection;
    private volatile boolean passedToConnection;
    private volatile XnioExecutor.Key timeout;
    private long sentMillis;
    private long lastDataMillis;
    private Optional<ResponseGuard> guard = Optional.empty();
    private long receivedBytes;

    ActiveHttpRequest(
            HttpRequest request,
            HttpListener listener,
            ConnectionTracker tracker,
            Consumer<ClientConnection> connectionReleaser) {
        this.request = request;
        this.listener = listener;
        this.tracker = tracker;
        this.connectionReleaser = connectionReleaser;
    }

    void startConnectTimeout(XnioIoThread thread) {
        startTimer(thread, request.connectTimeoutMillis(), this::failUnconnected);
    }

    private void failUnconnected() {
        if (connection == null) {
            fail(Failure.of(
                            ResultCode.UPSTREAM_UNREACHABLE,
                            "the connection was not established within the connect timeout")
                    .withExecutionState(ExecutionState.NOT_RUN));
        }
    }

    void start(ClientConnection opened) {
        connection = opened;
        tracker.requestStarted(opened);
        if (ended.get()) {
            stopTracking();
            ConnectionCloser.close(opened);
            return;
        }
        opened.getIoThread().execute(() -> sendRequest(opened));
    }

    @Override
    public void cancel() {
        fail(Failure.of(ResultCode.CANCELLED, "the request was cancelled"));
    }

    void fail(Failure failure) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        removeTimeout();
        stopTracking();
        ConnectionCloser.close(connection);
        ExecutionState state = passedToConnection ? failure.executionState() : ExecutionState.NOT_RUN;
        listener.onFailure(failure.withExecutionState(state));
    }

    private void sendRequest(ClientConnection opened) {
        sentMillis = clock.monotonicMillis();
        lastDataMillis = sentMillis;
        startResponseTimeout();
        if (ended.get()) {
            ConnectionCloser.close(opened);
            return;
        }
        passedToConnection = true;
        guard = tracker.guard(opened);
        guard.ifPresent(present -> present.begin(!request.method().equals(HEAD_METHOD), this::fail));
        try {
            opened.sendRequest(toClientRequest(), exchangeListener());
        } catch (RuntimeException exception) {
            // Undertow throws, and calls no callback, if a pooled connection fails on the first byte written.
            fail(Failure.of(ResultCode.CONNECTION_LOST, "the connection failed while the request was being sent"));
        }
    }

    private ClientCallback<ClientExchange> exchangeListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener());
                writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
            }

            @Override
            public void failed(IOException exception) {
                fail(connectionLost(exception));
            }
        };
    }

    private ClientRequest toClientRequest() {
        ClientRequest clientRequest = new ClientRequest()
                .setMethod(HttpString.tryFromString(request.method()))
                .setPath(request.path());
        request.headers()
                .forEach(header ->
                        clientRequest.getRequestHeaders().add(HttpString.tryFromString(header.name()), header.value()));
        if (!clientRequest.getRequestHeaders().contains(Headers.HOST)) {
            clientRequest
                    .getRequestHeaders()
                    .put(
                            Headers.HOST,
                            request.address().getAddress().getHostAddress() + ":"
                                    + request.address().getPort());
        }
        if (request.body().length > 0 || !BODILESS_METHODS.contains(request.method())) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, String.valueOf(request.body().length));
        }
        return clientRequest;
    }

    private void writeBody(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(writable -> writeBody(channel, body));
                    channel.resumeWrites();
                    return;
                }
            }
            finishBody(channel);
        } catch (IOException exception) {
            fail(connectionLost(exception));
        }
    }

    private void finishBody(StreamSinkChannel channel) throws IOException {
        channel.shutdownWrites();
        if (channel.flush()) {
            channel.suspendWrites();
            return;
        }
        channel.getWriteSetter()
                .set(ChannelListeners.flushingChannelListener(
                        flushed -> channel.suspendWrites(), (failed, exception) -> fail(connectionLost(exception))));
        channel.resumeWrites();
    }

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                receiveHead(exchange);
            }

            @Override
            public void failed(IOException exception) {
                fail(connectionLost(exception));
            }
        };
    }

    private void receiveHead(ClientExchange exchange) {
        if (ended.get()) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : response.getResponseHeaders()) {
            values.forEach(
                    value -> headers.add(new HttpHeader(values.getHeaderName().toString(), value)));
        }
        listener.onHead(response.getResponseCode(), headers);
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(this::readBody);
        readBody(channel);
    }

    private void readBody(StreamSourceChannel channel) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        try {
            while (!ended.get()) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    finishResponse();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                receiveBytes(buffer.flip());
            }
        } catch (IOException exception) {
            fail(Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the response was truncated: " + exception.getMessage()));
        }
    }

    private void receiveBytes(ByteBuffer buffer) {
        receivedBytes += buffer.remaining();
        guard.ifPresent(ResponseGuard::bodyReceived);
        if (receivedBytes > request.maximumResponseBytes()) {
            fail(Failure.of(
                    ResultCode.UPSTREAM_MALFORMED,
                    "the response body exceeds " + request.maximumResponseBytes() + " bytes"));
            return;
        }
        lastDataMillis = clock.monotonicMillis();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        listener.onBytes(bytes);
    }

    private void finishResponse() {
        if (!guard.map(ResponseGuard::isResponseComplete).orElse(false)) {
            fail(Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the response was truncated: its end has not come"));
            return;
        }
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        removeTimeout();
        stopTracking();
        connectionReleaser.accept(connection);
        listener.onEnd();
    }

    private void stopTracking() {
        ClientConnection current = connection;
        if (current != null) {
            tracker.requestEnded(current);
        }
    }

    /** Starts the timer of both limits. It is not restarted by each byte: bytes may come one by one. */
    private void startResponseTimeout() {
        if (ended.get()) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        long readLeftMillis = request.readTimeoutMillis() - (nowMillis - lastDataMillis);
        long responseLeftMillis = request.responseTimeoutMillis() - (nowMillis - sentMillis);
        if (readLeftMillis <= 0) {
            fail(Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the upstream sent no data within the read timeout"));
        } else if (responseLeftMillis <= 0) {
            fail(Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the response did not end within its time limit"));
        } else {
            removeTimeout();
            startTimer(
                    connection.getIoThread(), Math.min(readLeftMillis, responseLeftMillis), this::startResponseTimeout);
        }
    }

    private void startTimer(XnioIoThread thread, long delayMillis, Runnable onExpired) {
        long dueMillis = clock.monotonicMillis() + delayMillis;
        timeout = thread.executeAfter(() -> onTimer(thread, dueMillis, onExpired), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * A thread that stood still runs its timers before it looks at its sockets, so a late timer says nothing about the
     * upstream: what has arrived meanwhile is taken first. The timer that waits for it may be late as well.
     */
    private void onTimer(XnioIoThread thread, long dueMillis, Runnable onExpired) {
        if (clock.monotonicMillis() - dueMillis < STALL_MILLIS) {
            onExpired.run();
        } else {
            startTimer(thread, STALL_MILLIS, onExpired);
        }
    }

    private void removeTimeout() {
        XnioExecutor.Key current = timeout;
        if (current != null) {
            current.remove();
        }
    }

    private static Failure connectionLost(IOException exception) {
        return Failure.of(ResultCode.CONNECTION_LOST, "the connection failed: " + exception.getMessage());
    }
}
