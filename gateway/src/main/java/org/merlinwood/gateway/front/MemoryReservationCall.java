package org.merlinwood.gateway.front;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.decision.MemoryNeed;
import org.merlinwood.gateway.fleet.UpstreamInstance;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.http.HttpStream;

/**
 * Reserves memory for a response at one instance, in two steps: a reservation of all the memory that must be free,
 * which expires at once and only shows whether the instance has it, then one for the start of the response.
 *
 * <p>Many entries place responses at an instance and know each other's work only from status messages. The instance
 * alone knows how full it is. A reservation for the whole response would keep memory until its end that it needs only
 * then. Used by the event loop alone; started once.
 */
final class MemoryReservationCall implements HttpStream {

    /** Lease of the first reservation, in milliseconds: the shortest that there is. */
    private static final long CHECK_LEASE_MILLIS = 1;

    /**
     * Read timeout of a reservation request, in milliseconds. A reservation neither waits for a slot nor starts any
     * work.
     */
    private static final long READ_TIMEOUT_MILLIS = 200;

    /** Result if the instance named a time while its memory was checked: no fault of the instance. */
    private static final Failure WANTS_NO_REQUEST =
            Failure.of(ResultCode.CANCELLED, "the instance wants no request now");

    private final RequestProcessorContext context;
    private final UpstreamInstance instance;
    private final MemoryNeed need;
    private final long leaseMillis;
    private final Consumer<Result> consumer;
    private final Consumer<MemoryReservation> releaser;
    private Optional<HttpStream> memoryCheck = Optional.empty();
    private boolean cancelled;

    /**
     * Result of the call.
     *
     * @param reservation the reservation, or empty if the instance declined or could not be reached
     * @param tokens size of the last reservation that was requested, in tokens
     * @param response the last response, or why there was none
     */
    record Result(Optional<MemoryReservation> reservation, int tokens, Either<Failure, HttpResponse> response) {

        /** Returns whether the instance responded that it lacks the memory or a slot. */
        boolean declined() {
            return reservation.isEmpty() && response.isRight();
        }
    }

    /**
     * Creates a call.
     *
     * @param context shared components
     * @param instance the instance
     * @param need memory of the response
     * @param leaseMillis lease of the reservation, in milliseconds
     * @param consumer receives the result; not called after {@link #cancel()}
     * @param releaser releases a reservation that the instance grants after {@link #cancel()}
     */
    MemoryReservationCall(
            RequestProcessorContext context,
            UpstreamInstance instance,
            MemoryNeed need,
            long leaseMillis,
            Consumer<Result> consumer,
            Consumer<MemoryReservation> releaser) {
        this.context = context;
        this.instance = instance;
        this.need = need;
        this.leaseMillis = leaseMillis;
        this.consumer = consumer;
        this.releaser = releaser;
    }

    void start() {
        if (need.freeTokens() > need.startTokens()) {
            memoryCheck = Optional.of(request(need.freeTokens(), CHECK_LEASE_MILLIS, this::onChecked));
        } else {
            reserveStart();
        }
    }

    /**
     * Cancels the call. The request for the reservation itself is not interrupted: the instance may have granted it
     * already, and only its response tells what to release.
     */
    @Override
    public void cancel() {
        cancelled = true;
        memoryCheck.ifPresent(HttpStream::cancel);
    }

    private void onChecked(Either<Failure, HttpResponse> response) {
        memoryCheck = Optional.empty();
        if (cancelled) {
            return;
        }
        if (reservation(response).isEmpty()) {
            consumer.accept(new Result(Optional.empty(), need.freeTokens(), response));
        } else if (context.pool().notices().isDeclining(instance)) {
            consumer.accept(new Result(Optional.empty(), need.startTokens(), Either.left(WANTS_NO_REQUEST)));
        } else {
            reserveStart();
        }
    }

    private void reserveStart() {
        request(need.startTokens(), leaseMillis, this::onReserved);
    }

    private void onReserved(Either<Failure, HttpResponse> response) {
        Optional<MemoryReservation> reservation = reservation(response);
        if (cancelled) {
            reservation.ifPresent(releaser);
        } else {
            consumer.accept(new Result(reservation, need.startTokens(), response));
        }
    }

    private Optional<MemoryReservation> reservation(Either<Failure, HttpResponse> response) {
        return response.toJavaOptional()
                .flatMap(context.protocol()::readReservation)
                .map(identifier -> new MemoryReservation(instance, identifier));
    }

    private HttpStream request(
            int tokens, long requestedLeaseMillis, Consumer<Either<Failure, HttpResponse>> listener) {
        HttpRequest request = context.protocol()
                .reserve(instance, tokens, requestedLeaseMillis)
                .withTimeouts(RequestProcessor.CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
        return context.client().execute(instance, request, listener);
    }
}
