package org.merlinwood.following.impl;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.merlinwood.core.time.MillisClock;

/**
 * Watches one document of the configuration service by long polling, with jittered back-off. Confined to the control
 * thread.
 *
 * <p>A response is dropped if {@link #stop()} or {@link #restart()} was called after its request.
 */
final class ServiceWatch {

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long WAIT_MILLIS = 5_000;
    private static final long MINIMUM_INTERVAL_MILLIS = 100;
    private static final long FIRST_BACK_OFF_MILLIS = 200;
    private static final long MAXIMUM_BACK_OFF_MILLIS = 5_000;
    private static final int MAXIMUM_DOUBLINGS = 16;
    private static final int LOG_INTERVAL_SECONDS = 30;

    /** Receives results of the watch, on the control thread. */
    interface Listener {
        /** Called with a revision that is higher than the seen one. */
        void onDocument(DocumentKind kind, ConfigurationResponse.Published document);

        /** Called after each successful request, before {@link #onDocument}. */
        void onResponse(DocumentKind kind);

        /** Called after each failed request. */
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

    /** Drops a pending request and sends a new one, as needed after the process was paused. */
    void restart() {
        generation++;
        if (running) {
            sendRequest();
        }
    }

    // ------------------------------------------------------------------ state

    boolean isRunning() {
        return running;
    }

    /** Returns the number of consecutive failed requests. */
    int failures() {
        return failures;
    }

    // ------------------------------------------------------------------ internals

    private void sendRequest() {
        int requestGeneration = generation;
        long requestedMillis = clock.monotonicMillis();
        service.fetch(kind.documentName(), seenRevision.getAsLong(), jitter.around(WAIT_MILLIS))
                .thenAccept(response -> timer.execute(() -> {
                    if (requestGeneration == generation) {
                        handle(response, requestedMillis);
                    }
                }));
    }

    private void handle(ConfigurationResponse response, long requestedMillis) {
        switch (response) {
            case ConfigurationResponse.Published document -> {
                recordSuccess();
                listener.onDocument(kind, document);
                scheduleRequest(remainingIntervalMillis(requestedMillis));
            }
            case ConfigurationResponse.Unchanged ignored -> {
                recordSuccess();
                scheduleRequest(remainingIntervalMillis(requestedMillis));
            }
            case ConfigurationResponse.Busy busy -> {
                recordFailure("its rate limit is exceeded");
                scheduleRequest(busy.retryAfterMillis() + jitter.around(backOffMillis()));
            }
            case ConfigurationResponse.Unavailable unavailable -> {
                recordFailure(unavailable.detail());
                scheduleRequest(jitter.around(backOffMillis()));
            }
        }
    }

    private void recordSuccess() {
        failures = 0;
        listener.onResponse(kind);
    }

    private void recordFailure(String detail) {
        failures++;
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "fetching the %s from the configuration service failed: %s", kind.documentName(), detail);
        listener.onFailure(kind);
    }

    private long remainingIntervalMillis(long requestedMillis) {
        long elapsedMillis = clock.monotonicMillis() - requestedMillis;
        return Math.max(0, jitter.around(MINIMUM_INTERVAL_MILLIS) - elapsedMillis);
    }

    private long backOffMillis() {
        long doubled = FIRST_BACK_OFF_MILLIS << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        return Math.min(doubled, MAXIMUM_BACK_OFF_MILLIS);
    }

    private void scheduleRequest(long delayMillis) {
        int expectedGeneration = generation;
        timer.schedule(delayMillis, () -> {
            if (running && expectedGeneration == generation) {
                sendRequest();
            }
        });
    }
}
