package org.merlinwood.gateway.follow;

import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.gateway.loop.EventLoop;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;

/**
 * Confirms that a copy of the store is current: reads what has changed, beside the watch that waits, until the store
 * says that nothing has. A failure isn't taken for one of the store, since these reads have less time than a watch.
 *
 * <p>Used on the event loop only.
 */
public final class StoreReread implements StoreConfirmation {

    /** Time for each read, in milliseconds. A caller waits for it. */
    private static final long TIMEOUT_MILLIS = 300;

    /** Maximum wait of a read, in milliseconds: the store answers at once. */
    private static final long WAIT_MILLIS = 1;

    /** Number of reads after which a store that changes all the time isn't asked any more. */
    private static final int MAXIMUM_READS = 4;

    private final StoreProtocol protocol;
    private final HttpClient client;
    private final EventLoop loop;
    private final StoreFollower follower;

    /**
     * Creates a reader that has read nothing.
     *
     * @param protocol encodes requests and decodes responses
     * @param client sends requests to the store
     * @param loop event loop on which all methods are called
     * @param follower has the copy
     */
    public StoreReread(StoreProtocol protocol, HttpClient client, EventLoop loop, StoreFollower follower) {
        this.protocol = protocol;
        this.client = client;
        this.loop = loop;
        this.follower = follower;
    }

    @Override
    public void confirm(Consumer<Boolean> consumer) {
        if (follower.isListed()) {
            read(follower.readPosition(), MAXIMUM_READS, consumer);
        } else {
            consumer.accept(false);
        }
    }

    private void read(StorePosition after, int readsLeft, Consumer<Boolean> consumer) {
        CopyConfirmation.Moment sentAt = follower.confirmation().now();
        HttpRequest request =
                protocol.watch(after.revision(), WAIT_MILLIS).withTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        client.execute(
                request,
                result -> loop.execute(() -> onRead(
                        after, sentAt, readsLeft - 1, result.toJavaOptional().map(protocol::read), consumer)));
    }

    private void onRead(
            StorePosition after,
            CopyConfirmation.Moment sentAt,
            int readsLeft,
            Optional<StoreResponse> response,
            Consumer<Boolean> consumer) {
        if (!(response.orElse(null) instanceof StoreResponse.Changes changes)
                || !follower.applyRead(changes, after, sentAt)) {
            consumer.accept(false);
        } else if (changes.changes().isEmpty() || readsLeft == 0) {
            consumer.accept(changes.changes().isEmpty());
        } else {
            read(changes.position(), readsLeft, consumer);
        }
    }
}
