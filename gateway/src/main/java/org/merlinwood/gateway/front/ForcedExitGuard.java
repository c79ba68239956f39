package org.merlinwood.gateway.front;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.merlinwood.gateway.decision.DrainPolicy;
import org.merlinwood.gateway.loop.EventLoop;

/**
 * Answers the requests that a draining entry could not complete, just before it exits whatever is open. Used by the
 * event loop alone.
 *
 * <p>A response that has begun is left alone: it may still be completed, and no other response can be sent.
 */
final class ForcedExitGuard {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Interval between looks at the open requests, in milliseconds. */
    private static final long POLL_MILLIS = 50;

    /**
     * Time before the exit at which requests are answered, in milliseconds: one look late, and the response is sent.
     */
    private static final long ANSWER_MILLIS = 2 * POLL_MILLIS;

    private record OpenRequest(BooleanSupplier finished, Runnable answer) {}

    private final DrainPolicy drainPolicy;
    private final EventLoop loop;
    private final List<OpenRequest> open = new ArrayList<>();
    private boolean scheduled;

    ForcedExitGuard(DrainPolicy drainPolicy, EventLoop loop) {
        this.drainPolicy = drainPolicy;
        this.loop = loop;
    }

    /** Watches over a request until it is finished. */
    void add(RequestProcessor processor) {
        add(processor::isFinished, processor::onForcedExit);
    }

    /**
     * Watches over a request until it is finished.
     *
     * @param finished returns whether the request needs no answer any more
     * @param answer answers the request; called several times if the request isn't finished by it
     */
    void add(BooleanSupplier finished, Runnable answer) {
        open.add(new OpenRequest(finished, answer));
        schedule();
    }

    private void schedule() {
        if (!scheduled && !open.isEmpty()) {
            scheduled = true;
            loop.schedule(POLL_MILLIS, this::look);
        }
    }

    private void look() {
        scheduled = false;
        open.removeIf(request -> request.finished().getAsBoolean());
        if (drainPolicy.millisUntilForcedExit() <= ANSWER_MILLIS) {
            List.copyOf(open).forEach(ForcedExitGuard::answer);
        }
        schedule();
    }

    /** Answers a request. If that throws, the others are answered all the same. */
    private static void answer(OpenRequest request) {
        try {
            request.answer().run();
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("could not answer a request before the exit");
        }
    }
}
