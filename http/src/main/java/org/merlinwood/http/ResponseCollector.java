package org.merlinwood.http;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;

/** Collects a streamed response into a complete one. Used for a single request. */
public final class ResponseCollector implements HttpListener {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Consumer<Either<Failure, HttpResponse>> consumer;
    private int status;
    private List<HttpHeader> headers = List.of();

    /**
     * Creates a collector.
     *
     * @param consumer receives the complete response or the failure, exactly once
     */
    public ResponseCollector(Consumer<Either<Failure, HttpResponse>> consumer) {
        this.consumer = consumer;
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        consumer.accept(Either.right(new HttpResponse(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailure(Failure failure) {
        consumer.accept(Either.left(failure));
    }
}
