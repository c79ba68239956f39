package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.loop.EventLoop;

/** Runs an action once nothing has been received for some time. Used by the event loop alone; may be restarted. */
final class SilenceTimer {

    private final EventLoop loop;
    private final Runnable action;
    private Optional<EventLoop.Timer> timer = Optional.empty();

    /**
     * Creates a timer that is stopped.
     *
     * @param loop runs the action
     * @param action run once for each restart, unless another restart or a stop comes before
     */
    SilenceTimer(EventLoop loop, Runnable action) {
        this.loop = loop;
        this.action = action;
    }

    /**
     * Starts the timer, or starts it again.
     *
     * @param limitMillis time from now to the action, in milliseconds
     */
    void restart(long limitMillis) {
        stop();
        timer = Optional.of(loop.schedule(limitMillis, action));
    }

    void stop() {
        timer.ifPresent(EventLoop.Timer::cancel);
        timer = Optional.empty();
    }
}
