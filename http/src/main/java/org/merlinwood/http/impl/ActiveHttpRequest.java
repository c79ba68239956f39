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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpStream;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One call from connecting to the end of its answer.
 *
 * <p>After {@link #start} all work happens on the I/O thread of the connection. {@link #cancel()} and the timeouts may
 * come from any thread; the first end wins.
 */
final class ActiveHttpRequest implements HttpStream {

    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** Methods whose calls say nothing of a body where they have none. */
    private static final Set<String> BODILESS_METHODS = Set.of("GET", "HEAD", "DELETE");

    private final HttpRequest call;
    private final HttpListener listener;
    private final Consumer<ClientConnection> onReusable;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile ClientConnection connection;
    private volatile boolean handedOver;
    private volatile XnioExecutor.Key timeout;
    private long receivedBytes;

    ActiveHttpRequest(HttpRequest call, HttpListener listener, Consumer<ClientConnection> onReusable) {
        this.call = call;
        this.listener = listener;
        this.onReusable = onReusable;
    }

    // ------------------------------------------------------------------ life-cycle

    void limitConnecting(XnioIoThread thread) {
        timeout = thread.executeAfter(
                () -> fail(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, "connecting took too long")
                        .withExecutionState(ExecutionState.NOT_RUN)),
                call.connectTimeoutMillis(),
                TimeUnit.MILLISECONDS);
    }

    void start(ClientConnection opened) {
        connection = opened;
        if (ended.get()) {
            IoUtils.safeClose(opened);
            return;
        }
        opened.getIoThread().execute(() -> sendRequest(opened));
    }

    @Override
    public void cancel() {
        fail(Failure.of(ResultCode.CANCELLED, "the call was cancelled"));
    }

    void fail(Failure failure) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        removeTimeout();
        IoUtils.safeClose(connection);
        ExecutionState state = handedOver ? failure.executionState() : ExecutionState.NOT_RUN;
        listener.onFailure(failure.withExecutionState(state));
    }

    // ------------------------------------------------------------------ internals: request

    private void sendRequest(ClientConnection opened) {
        restartSilenceTimeout();
        if (ended.get()) {
            IoUtils.safeClose(opened);
            return;
        }
        handedOver = true;
        try {
            opened.sendRequest(request(), exchangeListener());
        } catch (RuntimeException exception) {
            // The client throws where a pooled connection breaks under the first byte, and reports nothing then.
            fail(Failure.of(ResultCode.CONNECTION_LOST, "the connection broke under the request"));
        }
    }

    private ClientCallback<ClientExchange> exchangeListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener());
                writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
            }

            @Override
            public void failed(IOException exception) {
                fail(broken(exception));
            }
        };
    }

    private ClientRequest request() {
        ClientRequest request = new ClientRequest()
                .setMethod(HttpString.tryFromString(call.method()))
                .setPath(call.path());
        call.headers()
                .forEach(header ->
                        request.getRequestHeaders().add(HttpString.tryFromString(header.name()), header.value()));
        if (!request.getRequestHeaders().contains(Headers.HOST)) {
            request.getRequestHeaders()
                    .put(
                            Headers.HOST,
                            call.address().getAddress().getHostAddress() + ":"
                                    + call.address().getPort());
        }
        if (call.body().length > 0 || !BODILESS_METHODS.contains(call.method())) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, String.valueOf(call.body().length));
        }
        return request;
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
            fail(broken(exception));
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
                        flushed -> channel.suspendWrites(), (failed, exception) -> fail(broken(exception))));
        channel.resumeWrites();
    }

    // ------------------------------------------------------------------ internals: answer

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                receiveHead(exchange);
            }

            @Override
            public void failed(IOException exception) {
                fail(broken(exception));
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
                    finishAnswer();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                receivePart(buffer.flip());
            }
        } catch (IOException exception) {
            fail(Failure.of(ResultCode.UPSTREAM_TRUNCATED, "the answer broke off: " + exception.getMessage()));
        }
    }

    private void receivePart(ByteBuffer buffer) {
        receivedBytes += buffer.remaining();
        if (receivedBytes > call.maximumResponseBytes()) {
            fail(Failure.of(
                    ResultCode.UPSTREAM_MALFORMED, "the answer is over " + call.maximumResponseBytes() + " bytes"));
            return;
        }
        restartSilenceTimeout();
        byte[] part = new byte[buffer.remaining()];
        buffer.get(part);
        listener.onBytes(part);
    }

    private void finishAnswer() {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        removeTimeout();
        onReusable.accept(connection);
        listener.onEnd();
    }

    // ------------------------------------------------------------------ internals: time and failures

    private void restartSilenceTimeout() {
        removeTimeout();
        ClientConnection current = connection;
        timeout = current.getIoThread()
                .executeAfter(
                        () -> fail(Failure.of(ResultCode.UPSTREAM_TIMEOUT, "the upstream was silent for too long")),
                        call.readTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void removeTimeout() {
        XnioExecutor.Key current = timeout;
        if (current != null) {
            current.remove();
        }
    }

    private static Failure broken(IOException exception) {
        return Failure.of(ResultCode.CONNECTION_LOST, "the connection broke: " + exception.getMessage());
    }
}
