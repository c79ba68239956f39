package org.merlinwood.following.impl;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.merlinwood.core.time.MillisClock;

/**
 * Watches one document at the configuration service, with jittered back-off. Used by the control thread alone.
 *
 * <p>An answer to a call that was overtaken by {@link #stop()} or {@link #restart()} is dropped.
 */
final class ServiceWatch {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long WAIT_MILLIS = 5_000;
    private static final long MINIMUM_INTERVAL_MILLIS = 100;
    private static final long FIRST_BACK_OFF_MILLIS = 200;
    private static final long MAXIMUM_BACK_OFF_MILLIS = 5_000;
    private static final int MAXIMUM_DOUBLINGS = 16;
    private static final int LOG_INTERVAL_SECONDS = 30;

    /** Receives what the service said, on the control thread. */
    interface Listener {
        void onDocument(DocumentKind kind, ConfigurationResponse.Published document);

        void onResponse(DocumentKind kind);

        void onFailure(DocumentKind kind);
    }

    private final DocumentKind kind;
    private final ConfigurationService service;
    private final ControlTimer timer;
    private final MillisClock clock;
    private final Jitter jitter;
    private final LongSupplier seenRevision;
    private final Listener listener;
    private boolean running;
    private int generation;
    private int failures;

    ServiceWatch(
            DocumentKind kind,
            ConfigurationService service,
            ControlTimer timer,
            MillisClock clock,
            Jitter jitter,
            LongSupplier seenRevision,
            Listener listener) {
        this.kind = kind;
        this.service = service;
        this.timer = timer;
        this.clock = clock;
        this.jitter = jitter;
        this.seenRevision = seenRevision;
        this.listener = listener;
    }

    // ------------------------------------------------------------------ life-cycle

    void start() {
        if (!running) {
            running = true;
            restart();
        }
    }

    void stop() {
        running = false;
        generation++;
    }

    /** Drops a call under way and asks anew, as after a pause of the process. */
    void restart() {
        generation++;
        if (running) {
            ask();
        }
    }

    // ------------------------------------------------------------------ state

    boolean isRunning() {
        return running;
    }

    /** Failed calls, one after the other, up to now. */
    int failures() {
        return failures;
    }

    // ------------------------------------------------------------------ internals

    private void ask() {
        int asked = generation;
        long askedMillis = clock.monotonicMillis();
        service.fetch(kind.documentName(), seenRevision.getAsLong(), jitter.around(WAIT_MILLIS))
                .thenAccept(answer -> timer.execute(() -> {
                    if (asked == generation) {
                        handle(answer, askedMillis);
                    }
                }));
    }

    private void handle(ConfigurationResponse answer, long askedMillis) {
        switch (answer) {
            case ConfigurationResponse.Published document -> {
                answered();
                listener.onDocument(kind, document);
                askAgain(pause(askedMillis));
            }
            case ConfigurationResponse.Unchanged ignored -> {
                answered();
                askAgain(pause(askedMillis));
            }
            case ConfigurationResponse.Busy busy -> {
                failed("it is over its rate");
                askAgain(busy.retryAfterMillis() + jitter.around(backOffMillis()));
            }
            case ConfigurationResponse.Unavailable unavailable -> {
                failed(unavailable.detail());
                askAgain(jitter.around(backOffMillis()));
            }
        }
    }

    private void answered() {
        failures = 0;
        listener.onResponse(kind);
    }

    private void failed(String detail) {
        failures++;
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "the configuration service does not give the %s: %s", kind.documentName(), detail);
        listener.onFailure(kind);
    }

    private long pause(long askedMillis) {
        long elapsedMillis = clock.monotonicMillis() - askedMillis;
        return Math.max(0, jitter.around(MINIMUM_INTERVAL_MILLIS) - elapsedMillis);
    }

    private long backOffMillis() {
        long doubled = FIRST_BACK_OFF_MILLIS << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        return Math.min(doubled, MAXIMUM_BACK_OFF_MILLIS);
    }

    private void askAgain(long delayMillis) {
        int expected = generation;
        timer.schedule(delayMillis, () -> {
            if (running && expected == generation) {
                ask();
            }
        });
    }
}
