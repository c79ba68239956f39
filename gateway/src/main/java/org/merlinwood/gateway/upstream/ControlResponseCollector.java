package org.merlinwood.gateway.upstream;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/**
 * Collects the response to one control request, and counts its bytes in the account of the entry. Confined to the event
 * loop.
 */
final class ControlResponseCollector implements HttpListener {

    private final CollectedBody body;
    private final Consumer<Either<Failure, HttpResponse>> consumer;
    private Optional<HttpStream> sent = Optional.empty();
    private int status;
    private List<HttpHeader> headers = List.of();
    private boolean ended;

    /**
     * Creates a collector.
     *
     * @param body receives the body; released at the end
     * @param consumer receives the complete response or the failure, exactly once
     */
    ControlResponseCollector(CollectedBody body, Consumer<Either<Failure, HttpResponse>> consumer) {
        this.body = body;
        this.consumer = consumer;
    }

    /** Sets the request, which is cancelled if its response is too large. */
    HttpStream sent(HttpStream request) {
        sent = Optional.of(request);
        return request;
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (body.add(bytes) != CollectedBody.Next.READ_ON) {
            end(Either.left(Failure.of(
                    ResultCode.UPSTREAM_MALFORMED, "the response bodies of this entry exceed its memory for them")));
            sent.ifPresent(HttpStream::cancel);
        }
    }

    @Override
    public void onEnd() {
        end(Either.right(new HttpResponse(status, headers, body.toByteArray())));
    }

    @Override
    public void onFailure(Failure failure) {
        end(Either.left(failure));
    }

    private void end(Either<Failure, HttpResponse> result) {
        if (!ended) {
            ended = true;
            body.release();
            consumer.accept(result);
        }
    }
}
