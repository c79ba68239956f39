package org.merlinwood.entry.caller;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.entry.dispatch.Dispatcher;
import org.merlinwood.entry.dispatch.EntryMetrics;
import org.merlinwood.entry.filter.ClassifyFilter;
import org.merlinwood.entry.filter.IdentifyFilter;
import org.merlinwood.entry.request.AcceptedRequest;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.http.BodyReader;
import org.merlinwood.http.ConnectionCloseWatch;
import org.merlinwood.http.HeldBytes;
import org.merlinwood.http.HttpHeader;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Handles the requests of callers: reads them completely within the limits, identifies and classifies them, and passes
 * them to the dispatcher. Thread-safe; runs on I/O threads and never blocks.
 */
final class CallerHandler implements HttpHandler {

    /** Maximum number of headers of a request. */
    static final int MAXIMUM_HEADERS = 100;

    /** Maximum size of all header names and values of a request, in characters. */
    static final int MAXIMUM_HEADER_BYTES = 32 * 1024;

    /** Maximum time for a caller to send the body. */
    static final long BODY_READ_TIMEOUT_MILLIS = 30_000;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Time for which a request waits for room before it may be refused. */
    private static final long MAXIMUM_WAIT_MILLIS = 400;

    /** Interval at which room is freed while requests wait for it. */
    private static final long RELIEF_INTERVAL_MILLIS = 100;

    /** Part of the limit of held bytes that is freed at a time. */
    private static final int RELIEF_PART = 8;

    /** Minimum retry delay sent to callers whose request is refused for lack of room. */
    private static final long NO_ROOM_RETRY_MILLIS = 500;

    /** Minimum retry delay sent to callers while the entry has no configuration. */
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final Supplier<Optional<ActiveConfiguration>> configuration;
    private final ClassifyFilter classifyFilter;
    private final Dispatcher dispatcher;
    private final EntryMetrics metrics;
    private final MillisClock clock;
    private final HeldBytes heldBytes;
    private final AtomicBoolean relieving = new AtomicBoolean();
    private final AtomicInteger openExchanges = new AtomicInteger();
    private volatile boolean draining;

    // ------------------------------------------------------------------ life-cycle

    CallerHandler(
            Supplier<Optional<ActiveConfiguration>> configuration,
            ClassifyFilter classifyFilter,
            Dispatcher dispatcher,
            EntryMetrics metrics,
            MillisClock clock,
            HeldBytes heldBytes) {
        this.configuration = configuration;
        this.classifyFilter = classifyFilter;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.clock = clock;
        this.heldBytes = heldBytes;
    }

    /** Starts draining: from now on callers are asked to close their connections. */
    void drain() {
        draining = true;
    }

    // ------------------------------------------------------------------ public API

    int openExchanges() {
        return openExchanges.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        openExchanges.incrementAndGet();
        exchange.addExchangeCompleteListener((completed, next) -> {
            openExchanges.decrementAndGet();
            next.proceed();
        });
        if (draining) {
            exchange.setPersistent(false);
        }
        RequestIdentifier identifier = randomIdentifier();
        Either<Failure, ActiveConfiguration> checked = checkHead(exchange).flatMap(none -> activeConfiguration());
        if (checked.isLeft()) {
            refuse(exchange, identifier, checked.getLeft());
            return;
        }
        ActiveConfiguration active = checked.get();
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readBody(exchange, identifier, active));
    }

    // ------------------------------------------------------------------ internals

    private static void scheduleReadTimeout(HttpServerExchange exchange, AtomicBoolean isRead) {
        var unused = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!isRead.get()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        BODY_READ_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void readBody(HttpServerExchange exchange, RequestIdentifier identifier, ActiveConfiguration active) {
        AtomicBoolean isRead = new AtomicBoolean();
        AtomicReference<Runnable> abandon = new AtomicReference<>(() -> {});
        HeldBytes.Holder holder = heldBytes.open(() -> exchange.getIoThread().execute(() -> {
            abandon.get().run();
            refuseForRoom(exchange, identifier, isRead);
        }));
        holder.evictable(true);
        exchange.addExchangeCompleteListener((completed, next) -> {
            holder.close();
            next.proceed();
        });
        ConnectionCloseWatch.watch(exchange, () -> {
            holder.close();
            abandon.get().run();
            if (!isRead.getAndSet(true)) {
                exchange.endExchange();
            }
        });
        scheduleReadTimeout(exchange, isRead);
        exchange.setMaxEntitySize(active.rules().limits().bodyBytes());
        BodyReader reader = new BodyReader(
                exchange,
                holder,
                holder::recordProgress,
                active.rules().limits().bodyBytes(),
                isRead::get,
                body -> {
                    isRead.set(true);
                    holder.evictable(false);
                    accept(exchange, identifier, body, active);
                },
                code -> {
                    isRead.set(true);
                    refuse(exchange, identifier, bodyFailure(code, active.rules()));
                });
        abandon.set(() -> {
            if (!isRead.get()) {
                reader.abandon();
            }
        });
        reader.start();
        if (!isRead.get()) {
            scheduleRelief(exchange);
        }
    }

    /** Frees room at intervals while requests wait for it, on one I/O thread, as long as there are requests. */
    private void scheduleRelief(HttpServerExchange exchange) {
        if (relieving.compareAndSet(false, true)) {
            scheduleNextRelief(exchange.getIoThread());
        }
    }

    private void scheduleNextRelief(XnioIoThread thread) {
        var unused = thread.executeAfter(
                () -> {
                    relieve();
                    if (openExchanges.get() > 0) {
                        scheduleNextRelief(thread);
                    } else {
                        relieving.set(false);
                    }
                },
                RELIEF_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void relieve() {
        long targetBytes = heldBytes.heldBytes() - heldBytes.limitBytes() / RELIEF_PART;
        while (heldBytes.waitingCount() > 0 && heldBytes.heldBytes() > targetBytes) {
            if (!heldBytes.evictStalled() && !heldBytes.evictWaiting(MAXIMUM_WAIT_MILLIS)) {
                return;
            }
        }
    }

    private void refuseForRoom(HttpServerExchange exchange, RequestIdentifier identifier, AtomicBoolean isRead) {
        if (!isRead.getAndSet(true)) {
            exchange.setPersistent(false);
            refuse(
                    exchange,
                    identifier,
                    Failure.retryable(
                            ResultCode.ENTRY_FULL,
                            "the entry has no room for the body, or the body stopped",
                            NO_ROOM_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(NO_ROOM_RETRY_MILLIS)));
        }
    }

    private void accept(
            HttpServerExchange exchange, RequestIdentifier identifier, byte[] body, ActiveConfiguration active) {
        Either<Failure, ClassifiedRequest> classified = classify(toAcceptedRequest(exchange, identifier, body), active);
        if (classified.isLeft()) {
            refuse(exchange, identifier, classified.getLeft());
            return;
        }
        CallerExchange callerExchange = new CallerExchange(
                exchange,
                () -> draining,
                code -> dispatcher.giveUp(identifier, Failure.of(code, "the caller disconnected or reads too slowly")));
        callerExchange.watchForDisconnect();
        dispatcher.dispatch(classified.get(), new CallerSink(classified.get(), callerExchange, clock));
    }

    private Either<Failure, ClassifiedRequest> classify(AcceptedRequest request, ActiveConfiguration active) {
        try {
            return IdentifyFilter.identify(request, active.rules())
                    .flatMap(identified -> classifyFilter.classify(identified, active));
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log(
                    "request %s failed unexpectedly in classification", request.identifier());
            return Either.left(Failure.of(ResultCode.INTERNAL, "an unexpected error occurred; see the log of the entry")
                    .withExecutionState(ExecutionState.NOT_RUN));
        }
    }

    private AcceptedRequest toAcceptedRequest(HttpServerExchange exchange, RequestIdentifier identifier, byte[] body) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            values.forEach(
                    value -> headers.add(new HttpHeader(values.getHeaderName().toString(), value)));
        }
        return new AcceptedRequest(
                identifier,
                exchange.getRequestMethod().toString(),
                exchange.getRequestPath(),
                exchange.getQueryString(),
                headers,
                body,
                clock.monotonicMillis());
    }

    private static Either<Failure, HttpServerExchange> checkHead(HttpServerExchange exchange) {
        int count = 0;
        long bytes = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            count += values.size();
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length();
            }
        }
        if (count > MAXIMUM_HEADERS || bytes > MAXIMUM_HEADER_BYTES) {
            exchange.setPersistent(false);
            return Either.left(Failure.of(
                    ResultCode.HEADERS_TOO_LARGE,
                    "the headers exceed the limit of %d headers and %d bytes"
                            .formatted(MAXIMUM_HEADERS, MAXIMUM_HEADER_BYTES)));
        }
        return Either.right(exchange);
    }

    private Either<Failure, ActiveConfiguration> activeConfiguration() {
        return configuration
                .get()
                .<Either<Failure, ActiveConfiguration>>map(Either::right)
                .orElseGet(() -> {
                    long retryAfterMillis =
                            NOT_READY_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(NOT_READY_RETRY_MILLIS);
                    return Either.left(Failure.retryable(
                            ResultCode.NOT_READY, "the entry has no active inventory and rules yet", retryAfterMillis));
                });
    }

    private static Failure bodyFailure(ResultCode code, Rules rules) {
        return code == ResultCode.BODY_TOO_LARGE
                ? Failure.of(
                        code,
                        "the body exceeds the limit of %d bytes"
                                .formatted(rules.limits().bodyBytes()))
                : Failure.of(code, "the body could not be read");
    }

    private void refuse(HttpServerExchange exchange, RequestIdentifier identifier, Failure failure) {
        metrics.requestEnded(failure.code());
        logger.atFine().log("request %s: %s", identifier, failure.code());
        Failure reported = withKeyedExecutionState(exchange, failure);
        if (reported.code() == ResultCode.BODY_TOO_LARGE) {
            exchange.setPersistent(false);
        }
        CallerExchange callerExchange = new CallerExchange(exchange, () -> draining, code -> {});
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> callerExchange.respond(
                        reported.code().httpStatus(),
                        ResponseHeaders.failure(identifier, reported),
                        ResponseJson.failure(identifier, reported)));
    }

    /**
     * Sets the execution state to unknown for requests with a key: without a configuration the entry cannot determine
     * whether an earlier request with the key ran.
     */
    private static Failure withKeyedExecutionState(HttpServerExchange exchange, Failure failure) {
        boolean hasKey = exchange.getRequestHeaders().contains(AcceptedRequest.IDEMPOTENCY_KEY_HEADER);
        return hasKey && failure.code() == ResultCode.NOT_READY
                ? failure.withExecutionState(ExecutionState.UNKNOWN)
                : failure;
    }

    private static RequestIdentifier randomIdentifier() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new RequestIdentifier(random.nextLong(), random.nextLong());
    }
}
