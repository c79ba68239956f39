package org.merlinwood.gateway.upstream;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.http.ConnectionCounts;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/**
 * Sends all requests to upstream instances, and reports what their responses state about the instances before anything
 * else handles them. Confined to the event loop.
 */
public final class UpstreamClient {

    /** Size limit of the response body of a reservation, prefill, release or order, in bytes. */
    static final long MAXIMUM_CONTROL_RESPONSE_BYTES = 64 << 10;

    /** Size limit of the response body of a listing, in bytes: some ten thousand parts of prompts. */
    static final long MAXIMUM_LISTING_RESPONSE_BYTES = 1 << 20;

    private final HttpClient client;
    private final UpstreamProtocol protocol;
    private final InstanceListener instanceListener;
    private final CollectedBytes collectedBytes = new CollectedBytes();

    /**
     * Creates a client.
     *
     * @param client sends the requests
     * @param protocol decodes the notices
     * @param instanceListener observes the requests and the notices
     */
    public UpstreamClient(HttpClient client, UpstreamProtocol protocol, InstanceListener instanceListener) {
        this.client = client;
        this.protocol = protocol;
        this.instanceListener = instanceListener;
    }

    /**
     * Sends a request and streams the response.
     *
     * @param instance the instance that the request is for
     * @param request the request
     * @param listener receives the response
     * @return a handle to cancel it
     */
    public HttpStream send(UpstreamInstance instance, HttpRequest request, HttpListener listener) {
        instanceListener.onSend(instance, request);
        return client.send(request, new NoticingListener(instance, listener));
    }

    /**
     * Sends a control request and collects the complete response, which must end within the read timeout and have at
     * most {@link #MAXIMUM_CONTROL_RESPONSE_BYTES}. A notice in its head counts even if the body is not complete.
     *
     * @param instance the instance that the request is for
     * @param request the request
     * @param consumer receives the response or the failure, exactly once
     * @return a handle to cancel it
     */
    public HttpStream execute(
            UpstreamInstance instance, HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer) {
        HttpRequest limited = request.withResponseTimeout(request.readTimeoutMillis())
                .withMaximumResponseBytes(MAXIMUM_CONTROL_RESPONSE_BYTES);
        return sendAndCollect(instance, limited, consumer);
    }

    /**
     * As {@link #execute}, for a response that lists what an instance holds, of at most
     * {@link #MAXIMUM_LISTING_RESPONSE_BYTES}.
     *
     * @param instance the instance that the request is for
     * @param request the request
     * @param consumer receives the response or the failure, exactly once
     */
    public void executeListing(
            UpstreamInstance instance, HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer) {
        HttpRequest limited = request.withResponseTimeout(request.readTimeoutMillis())
                .withMaximumResponseBytes(MAXIMUM_LISTING_RESPONSE_BYTES);
        sendAndCollect(instance, limited, consumer);
    }

    private HttpStream sendAndCollect(
            UpstreamInstance instance, HttpRequest request, Consumer<Either<Failure, HttpResponse>> consumer) {
        ControlResponseCollector collector = new ControlResponseCollector(collectedBytes.open(), consumer);
        return collector.sent(send(instance, request, collector));
    }

    /**
     * Returns the account of all response bodies that are being collected: those of control requests, and those that a
     * listener of {@link #send} collects.
     *
     * @return the account, which changes with each byte
     */
    public CollectedBytes collectedBytes() {
        return collectedBytes;
    }

    /**
     * Returns how many connections to upstreams there are.
     *
     * @return the current numbers
     */
    public ConnectionCounts connectionCounts() {
        return client.connectionCounts();
    }

    private void readNotice(UpstreamInstance instance, int status, List<HttpHeader> headers) {
        InstanceNotice notice = protocol.readNotice(status, headers);
        if (!notice.equals(InstanceNotice.NONE)) {
            instanceListener.onNotice(instance, notice);
        }
    }

    /** Reads the notice in the head of a response and passes everything on. */
    private final class NoticingListener implements HttpListener {

        private final UpstreamInstance instance;
        private final HttpListener listener;

        private NoticingListener(UpstreamInstance instance, HttpListener listener) {
            this.instance = instance;
            this.listener = listener;
        }

        @Override
        public void onHead(int status, List<HttpHeader> headers) {
            readNotice(instance, status, headers);
            listener.onHead(status, headers);
        }

        @Override
        public void onBytes(byte[] bytes) {
            listener.onBytes(bytes);
        }

        @Override
        public void onEnd() {
            listener.onEnd();
        }

        @Override
        public void onFailure(Failure failure) {
            listener.onFailure(failure);
        }
    }
}
