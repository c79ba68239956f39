package org.merlinwood.entry.caller;

import com.google.common.flogger.FluentLogger;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.merlinwood.http.HttpHeader;
import org.xnio.IoUtils;

/**
 * Accepts requests: reads them whole within the limits, passes them through identify and classify, and hands them to
 * the dispatcher. Thread-safe; runs on I/O threads and never blocks.
 */
final class CallerHandler implements HttpHandler {

    /** Headers of one request at most. */
    static final int MAXIMUM_HEADERS = 100;

    /** Size of all headers of one request at most, names and values together. */
    static final int MAXIMUM_HEADER_BYTES = 32 * 1024;

    /** How long a caller may take to send a body. */
    static final long BODY_LIMIT_MILLIS = 30_000;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** When a caller is told to come back to an entry that has no configuration yet, in milliseconds. */
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final Supplier<Optional<ActiveConfiguration>> configuration;
    private final ClassifyFilter classifyFilter;
    private final Dispatcher dispatcher;
    private final EntryMetrics metrics;
    private final MillisClock clock;
    private final AtomicInteger openExchanges = new AtomicInteger();
    private volatile boolean draining;

    // ------------------------------------------------------------------ life-cycle

    CallerHandler(
            Supplier<Optional<ActiveConfiguration>> configuration,
            ClassifyFilter classifyFilter,
            Dispatcher dispatcher,
            EntryMetrics metrics,
            MillisClock clock) {
        this.configuration = configuration;
        this.classifyFilter = classifyFilter;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** From now on callers are told to close their connections. */
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
        Either<Failure, ActiveConfiguration> checked = checkHead(exchange).flatMap(none -> inForce());
        if (checked.isLeft()) {
            refuse(exchange, identifier, checked.getLeft());
            return;
        }
        ActiveConfiguration inForce = checked.get();
        AtomicBoolean isRead = new AtomicBoolean();
        limitReading(exchange, isRead);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(inForce.rules().limits().bodyBytes());
        receiver.receiveFullBytes(
                (source, body) -> {
                    isRead.set(true);
                    source.dispatch(SameThreadExecutor.INSTANCE, () -> accept(source, identifier, body, inForce));
                },
                (source, exception) -> {
                    isRead.set(true);
                    refuse(source, identifier, bodyFailure(exception, inForce.rules()));
                });
    }

    // ------------------------------------------------------------------ internals

    private static void limitReading(HttpServerExchange exchange, AtomicBoolean isRead) {
        var unused = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!isRead.get()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        BODY_LIMIT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void accept(
            HttpServerExchange exchange, RequestIdentifier identifier, byte[] body, ActiveConfiguration inForce) {
        Either<Failure, ClassifiedRequest> classified = classify(accepted(exchange, identifier, body), inForce);
        if (classified.isLeft()) {
            refuse(exchange, identifier, classified.getLeft());
            return;
        }
        CallerExchange callerExchange = new CallerExchange(
                exchange,
                () -> draining,
                code -> dispatcher.giveUp(identifier, Failure.of(code, "the caller closed or did not read")));
        callerExchange.watch();
        dispatcher.dispatch(classified.get(), new CallerSink(classified.get(), callerExchange, clock));
    }

    private Either<Failure, ClassifiedRequest> classify(AcceptedRequest request, ActiveConfiguration inForce) {
        try {
            return IdentifyFilter.identify(request, inForce.rules())
                    .flatMap(identified -> classifyFilter.classify(identified, inForce));
        } catch (RuntimeException exception) {
            logger.atSevere().withCause(exception).log("request %s could not be classified", request.identifier());
            return Either.left(Failure.of(ResultCode.INTERNAL, "an unexpected fault; the log names it")
                    .withExecutionState(ExecutionState.NOT_RUN));
        }
    }

    private AcceptedRequest accepted(HttpServerExchange exchange, RequestIdentifier identifier, byte[] body) {
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
                    "a request has at most %d headers with %d bytes".formatted(MAXIMUM_HEADERS, MAXIMUM_HEADER_BYTES)));
        }
        return Either.right(exchange);
    }

    private Either<Failure, ActiveConfiguration> inForce() {
        return configuration
                .get()
                .<Either<Failure, ActiveConfiguration>>map(Either::right)
                .orElseGet(() -> {
                    long retryAfterMillis =
                            NOT_READY_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(NOT_READY_RETRY_MILLIS);
                    return Either.left(Failure.retryable(
                            ResultCode.NOT_READY, "no inventory and rules are in force yet", retryAfterMillis));
                });
    }

    private static Failure bodyFailure(IOException exception, Rules rules) {
        return exception instanceof Receiver.RequestToLargeException
                ? Failure.of(
                        ResultCode.BODY_TOO_LARGE,
                        "a body has at most %d bytes".formatted(rules.limits().bodyBytes()))
                : Failure.of(ResultCode.MALFORMED_REQUEST, "the body could not be read");
    }

    private void refuse(HttpServerExchange exchange, RequestIdentifier identifier, Failure failure) {
        metrics.requestEnded(failure.code());
        logger.atFine().log("request %s: %s", identifier, failure.code());
        Failure judged = judgeKey(exchange, failure);
        if (judged.code() == ResultCode.BODY_TOO_LARGE) {
            exchange.setPersistent(false);
        }
        CallerExchange callerExchange = new CallerExchange(exchange, () -> draining, code -> {});
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> callerExchange.respond(
                        judged.code().httpStatus(),
                        ResponseHeaders.failure(identifier, judged),
                        ResponseJson.failure(identifier, judged)));
    }

    /** An entry without a configuration can't tell whether an earlier request with the caller's key ran. */
    private static Failure judgeKey(HttpServerExchange exchange, Failure failure) {
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
