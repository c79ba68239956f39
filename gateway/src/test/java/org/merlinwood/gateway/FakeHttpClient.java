package org.merlinwood.gateway;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.ConnectionCounts;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;
import org.merlinwood.http.ResponseCollector;

/** HTTP client that records requests, to which a test sends the responses. */
public final class FakeHttpClient implements HttpClient {

    private final List<SentRequest> sent = new ArrayList<>();
    private Optional<RuntimeException> nextException = Optional.empty();

    /**
     * A recorded request and its listener. As with the real client, the listener hears nothing more once the request
     * has ended or was cancelled, whatever its instance still sends.
     */
    public static final class SentRequest implements HttpStream {

        private final HttpRequest request;
        private final HttpListener listener;
        private boolean ended;
        private boolean cancelled;

        private SentRequest(HttpRequest request, HttpListener listener) {
            this.request = request;
            this.listener = listener;
        }

        public HttpRequest request() {
            return request;
        }

        public boolean cancelled() {
            return cancelled;
        }

        /** Returns whether the response has ended, the request has failed or it was cancelled. */
        public boolean ended() {
            return ended;
        }

        public void head(int status, HttpHeader... headers) {
            if (!ended) {
                listener.onHead(status, List.of(headers));
            }
        }

        public void bytes(String text) {
            if (!ended) {
                listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
            }
        }

        public void end() {
            if (!ended) {
                ended = true;
                listener.onEnd();
            }
        }

        public void respond(int status, String body, HttpHeader... headers) {
            head(status, headers);
            bytes(body);
            end();
        }

        public void fail(ResultCode code, ExecutionState state) {
            if (!ended) {
                ended = true;
                listener.onFailure(
                        Failure.of(code, "failure injected by the test").withExecutionState(state));
            }
        }

        @Override
        public void cancel() {
            if (!ended) {
                cancelled = true;
                fail(ResultCode.CANCELLED, ExecutionState.UNKNOWN);
            }
        }
    }

    public List<SentRequest> sent() {
        return sent;
    }

    public SentRequest last() {
        return sent.getLast();
    }

    /** Makes the client throw when the next request is sent, as no client should. */
    public void throwOnNextSend(RuntimeException exception) {
        nextException = Optional.of(exception);
    }

    @Override
    public HttpStream send(HttpRequest request, HttpListener listener) {
        Optional<RuntimeException> exception = nextException;
        nextException = Optional.empty();
        if (exception.isPresent()) {
            throw exception.get();
        }
        SentRequest next = new SentRequest(request, listener);
        sent.add(next);
        return next;
    }

    @Override
    public HttpStream execute(HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer) {
        return send(request, new ResponseCollector(consumer));
    }

    @Override
    public CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest request) {
        throw new UnsupportedOperationException("not supported; the gateway only sends requests that can be cancelled");
    }

    @Override
    public ConnectionCounts connectionCounts() {
        return new ConnectionCounts(0, 0, 0);
    }

    @Override
    public void close() {}
}
