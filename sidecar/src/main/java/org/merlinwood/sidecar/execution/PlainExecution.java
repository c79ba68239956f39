package org.merlinwood.sidecar.execution;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.Future;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;
import org.merlinwood.operation.control.ControlLoop;

/**
 * Sends a request to a plain service. The response is buffered completely before any of it is sent, so that the entry
 * never receives a partial response and the service is never asked for the same response twice.
 */
public final class PlainExecution extends HttpExecution {

    private static final int PART_BYTES = 256 << 10;

    private final HttpClient client;
    private final HttpRequest request;
    private final long timeoutMillis;
    private final ControlLoop loop;
    private final ResponseChannel channel;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private List<HttpHeader> headers = List.of();
    private Future<?> timeout;
    private volatile HttpResponse response;

    /**
     * Creates an execution that has not been started.
     *
     * @param client sends the request
     * @param request the request, with its own timeouts
     * @param timeoutMillis timeout of the whole request, in milliseconds
     * @param loop schedules the timeout
     * @param channel sends the response on the exchange
     */
    public PlainExecution(
            HttpClient client, HttpRequest request, long timeoutMillis, ControlLoop loop, ResponseChannel channel) {
        this.client = client;
        this.request = request;
        this.timeoutMillis = timeoutMillis;
        this.loop = loop;
        this.channel = channel;
    }

    /**
     * Returns the response.
     *
     * @return the response, or null unless the execution has completed
     */
    public HttpResponse response() {
        return response;
    }

    /**
     * Sends a complete response on an exchange and ends it.
     *
     * @param channel sends the response on the exchange
     * @param response the complete response
     * @param replayed whether it is a stored response that is replayed
     */
    public static void relay(ResponseChannel channel, HttpResponse response, boolean replayed) {
        channel.head(response.status(), response.headers(), replayed);
        byte[] bytes = response.body();
        for (int offset = 0; offset < bytes.length; offset += PART_BYTES) {
            int length = Math.min(PART_BYTES, bytes.length - offset);
            channel.body(offset, ByteString.copyFrom(bytes, offset, length));
        }
        channel.complete(bytes.length, "");
    }

    @Override
    HttpStream open() {
        timeout = loop.schedule(
                timeoutMillis,
                () -> giveUp(Failure.of(
                        ResultCode.UPSTREAM_TIMEOUT, "the upstream did not respond within " + timeoutMillis + " ms")));
        return client.send(request, this);
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> responseHeaders) {
        status = responseStatus;
        headers = ForwardedHeaders.of(responseHeaders);
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    ExecutionOutcome onResponse() {
        timeout.cancel(false);
        response = new HttpResponse(status, headers, body.toByteArray());
        relay(channel, response, false);
        return new ExecutionOutcome.Completed();
    }

    /** A plain service holds no memory for a failed request. */
    @Override
    ExecutionOutcome failedOutcome(Failure failure) {
        timeout.cancel(false);
        return new ExecutionOutcome.Failed(failure, false);
    }
}
