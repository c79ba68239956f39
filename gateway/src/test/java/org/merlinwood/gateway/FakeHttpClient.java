package org.merlinwood.gateway;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/** Records calls; a test answers them. */
public final class FakeHttpClient implements HttpClient {

    private final List<SentRequest> sent = new ArrayList<>();

    /** One call and its listener. */
    public static final class SentRequest implements HttpStream {

        private final HttpRequest request;
        private final HttpListener listener;
        private boolean over;
        private boolean cancelled;

        private SentRequest(HttpRequest call, HttpListener listener) {
            this.request = call;
            this.listener = listener;
        }

        public HttpRequest request() {
            return request;
        }

        public boolean cancelled() {
            return cancelled;
        }

        public void head(int status, HttpHeader... headers) {
            listener.onHead(status, List.of(headers));
        }

        public void bytes(String text) {
            listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
        }

        public void end() {
            over = true;
            listener.onEnd();
        }

        public void respond(int status, String body, HttpHeader... headers) {
            head(status, headers);
            bytes(body);
            end();
        }

        public void fail(ResultCode code, ExecutionState state) {
            over = true;
            listener.onFailure(Failure.of(code, "broken by the test").withExecutionState(state));
        }

        @Override
        public void cancel() {
            if (!over) {
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

    @Override
    public HttpStream send(HttpRequest call, HttpListener listener) {
        SentRequest next = new SentRequest(call, listener);
        sent.add(next);
        return next;
    }

    @Override
    public HttpStream execute(HttpRequest call, Consumer<Either<Failure, HttpResponse>> consumer) {
        return send(call, new HttpListener() {
            private int status;
            private final StringBuilder body = new StringBuilder();

            @Override
            public void onHead(int answered, List<HttpHeader> headers) {
                status = answered;
            }

            @Override
            public void onBytes(byte[] bytes) {
                body.append(new String(bytes, StandardCharsets.UTF_8));
            }

            @Override
            public void onEnd() {
                consumer.accept(Either.right(
                        new HttpResponse(status, List.of(), body.toString().getBytes(StandardCharsets.UTF_8))));
            }

            @Override
            public void onFailure(Failure failure) {
                consumer.accept(Either.left(failure));
            }
        });
    }

    @Override
    public CompletionStage<Either<Failure, HttpResponse>> execute(HttpRequest call) {
        throw new UnsupportedOperationException("the gateway uses calls that can be cancelled");
    }

    @Override
    public void close() {}
}
