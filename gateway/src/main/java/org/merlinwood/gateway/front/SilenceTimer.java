package org.merlinwood.gateway.front;

import java.util.Optional;
import org.merlinwood.gateway.loop.EventLoop;

/** Runs an action once nothing has been received for some time. Used by the event loop alone; may be restarted. */
final class SilenceTimer {

    private final EventLoop loop;
    private final long limitMillis;
    private final Runnable action;
    private Optional<EventLoop.Timer> timer = Optional.empty();

    /**
     * Creates a timer that is stopped.
     *
     * @param loop runs the action
     * @param limitMillis time from {@link #restart()} to the action, in milliseconds
     * @param action run once for each restart, unless another restart or a stop comes before
     */
    SilenceTimer(EventLoop loop, long limitMillis, Runnable action) {
        this.loop = loop;
        this.limitMillis = limitMillis;
        this.action = action;
    }

    void restart() {
        stop();
        timer = Optional.of(loop.schedule(limitMillis, action));
    }

    void stop() {
        timer.ifPresent(EventLoop.Timer::cancel);
        timer = Optional.empty();
    }
}
