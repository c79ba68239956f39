package org.merlinwood.gateway.follow;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.ConnectionUse;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;

/**
 * Sends the requests with which a {@link StoreFollower} reads the store, and tells failures of an open connection from
 * those of the store. Confined to the event loop.
 */
final class StoreRequests {

    /** Maximum wait of a watch request, in milliseconds. */
    private static final long WATCH_WAIT_MILLIS = 1_500;

    /**
     * Time beyond its wait after which the connection of a watch counts as silent, in milliseconds. With the wait it is
     * shorter than the time within which a removal has to take effect. A slow store takes a few hundred milliseconds.
     */
    private static final long SILENCE_MILLIS = 400;

    /** Wait of a watch request that the store answers at once, in milliseconds. */
    private static final long NO_WAIT_MILLIS = 1;

    /** Timeout of a request that the store answers at once, and of a connection to it, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

    private final StoreProtocol protocol;
    private final HttpClient client;
    private final EventLoop loop;

    /**
     * Creates a sender.
     *
     * @param protocol encodes requests and decodes responses
     * @param client sends requests to the store
     * @param loop event loop on which responses are passed on
     */
    StoreRequests(StoreProtocol protocol, HttpClient client, EventLoop loop) {
        this.protocol = protocol;
        this.client = client;
        this.loop = loop;
    }

    /** Lists a page of keys behind a key, which is empty for the first page. */
    void list(String lastKey, ConnectionUse use, Consumer<StoreResponse> consumer) {
        send(
                protocol.list(lastKey)
                        .withTimeouts(RESPONSE_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS)
                        .withConnectionUse(use),
                consumer);
    }

    /** Waits for changes behind a revision. */
    void watch(long afterRevision, Consumer<StoreResponse> consumer) {
        long readTimeoutMillis = WATCH_WAIT_MILLIS + SILENCE_MILLIS;
        send(
                protocol.watch(afterRevision, WATCH_WAIT_MILLIS)
                        .withTimeouts(RESPONSE_TIMEOUT_MILLIS, readTimeoutMillis)
                        .withResponseTimeout(readTimeoutMillis),
                consumer);
    }

    /** Reads the changes so far behind a revision, on a new connection. */
    void readChanges(long afterRevision, Consumer<StoreResponse> consumer) {
        send(
                protocol.watch(afterRevision, NO_WAIT_MILLIS)
                        .withTimeouts(RESPONSE_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS)
                        .withConnectionUse(ConnectionUse.FRESH),
                consumer);
    }

    private void send(HttpRequest request, Consumer<StoreResponse> consumer) {
        client.execute(request, result -> loop.execute(() -> consumer.accept(read(result, request.connectionUse()))));
    }

    private StoreResponse read(Either<Failure, HttpResponse> result, ConnectionUse use) {
        return result.fold(failure -> classify(failure, use), protocol::read);
    }

    private static StoreResponse classify(Failure failure, ConnectionUse use) {
        String reason = failure.code() + ": " + failure.detail();
        boolean mayBeConnection = use == ConnectionUse.POOLED && failure.executionState() != ExecutionState.NOT_RUN;
        if (!mayBeConnection) {
            return new StoreResponse.Failed(reason);
        }
        return switch (failure.code()) {
            case UPSTREAM_TIMEOUT -> new StoreResponse.ConnectionFailed(reason, true);
            case CONNECTION_LOST, UPSTREAM_TRUNCATED -> new StoreResponse.ConnectionFailed(reason, false);
            default -> new StoreResponse.Failed(reason);
        };
    }
}
