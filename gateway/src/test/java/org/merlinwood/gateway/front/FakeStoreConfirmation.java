package org.merlinwood.gateway.front;

import java.util.function.Consumer;
import org.merlinwood.gateway.follow.StoreConfirmation;

/** A store that says at once what the test sets. */
final class FakeStoreConfirmation implements StoreConfirmation {

    /** Whether the copy of the store is current. */
    boolean current = true;

    /** Applies what the store says has changed, before it answers. */
    Runnable changes = () -> {};

    @Override
    public void confirm(Consumer<Boolean> consumer) {
        changes.run();
        consumer.accept(current);
    }
}
