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
 * Relays one call to a plain service. The answer is collected whole before any of it is sent, so that the entry never
 * has half of one, and is never asked for twice.
 */
public final class PlainExecution extends HttpExecution {

    private static final int PART_BYTES = 256 << 10;

    private final HttpClient client;
    private final HttpRequest call;
    private final long timeoutMillis;
    private final ControlLoop loop;
    private final ResponseChannel channel;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private List<HttpHeader> headers = List.of();
    private Future<?> timeout;
    private volatile HttpResponse answer;

    /**
     * Creates an execution that has not begun.
     *
     * @param client sends the call
     * @param call the call, with its bounds
     * @param timeoutMillis how long the whole call may take, in milliseconds
     * @param loop gives the call up in time
     * @param channel the exchange
     */
    public PlainExecution(
            HttpClient client, HttpRequest call, long timeoutMillis, ControlLoop loop, ResponseChannel channel) {
        this.client = client;
        this.call = call;
        this.timeoutMillis = timeoutMillis;
        this.loop = loop;
        this.channel = channel;
    }

    /**
     * Returns the answer.
     *
     * @return the answer once the execution has ended whole, before that null
     */
    public HttpResponse answer() {
        return answer;
    }

    /**
     * Sends an answer to an exchange.
     *
     * @param channel the exchange
     * @param answer the whole answer
     * @param replayed true where it is given again
     */
    public static void relay(ResponseChannel channel, HttpResponse answer, boolean replayed) {
        channel.head(answer.status(), answer.headers(), replayed);
        byte[] bytes = answer.body();
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
                        ResultCode.UPSTREAM_TIMEOUT, "the upstream did not answer within " + timeoutMillis + " ms")));
        return client.send(call, this);
    }

    @Override
    public void onHead(int answerStatus, List<HttpHeader> answerHeaders) {
        status = answerStatus;
        headers = ForwardedHeaders.of(answerHeaders);
    }

    @Override
    public void onBytes(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override
    ExecutionOutcome onResponse() {
        timeout.cancel(false);
        answer = new HttpResponse(status, headers, body.toByteArray());
        relay(channel, answer, false);
        return new ExecutionOutcome.Completed();
    }

    /** A plain service keeps nothing for a call that failed. */
    @Override
    ExecutionOutcome failed(Failure failure) {
        timeout.cancel(false);
        return new ExecutionOutcome.Failed(failure, false);
    }
}
