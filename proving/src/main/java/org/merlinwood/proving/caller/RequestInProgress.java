package org.merlinwood.proving.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.time.MillisClock;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;
import org.merlinwood.http.HttpStream;

/** A request from sending to its end. Callers of its public methods may be on any thread. */
public final class RequestInProgress implements HttpListener {

    private static final String EVENT_STREAM = "text/event-stream";

    private final CompletableFuture<CallerResponse> response = new CompletableFuture<>();
    private final CountDownLatch firstToken = new CountDownLatch(1);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventStreamReader events = new EventStreamReader();
    private final MillisClock clock;
    private final long sentMillis;
    private volatile HttpStream stream;
    private List<HttpHeader> headers = List.of();
    private int status;
    private boolean streamed;
    private long firstTokenMillis;

    RequestInProgress(MillisClock clock) {
        this.clock = clock;
        this.sentMillis = clock.monotonicMillis();
    }

    /**
     * Returns the future response.
     *
     * @return completed at the end of the request, never exceptionally
     */
    public CompletableFuture<CallerResponse> response() {
        return response;
    }

    /** Returns the latch that is released at the first token or at the end of the request. */
    public CountDownLatch firstToken() {
        return firstToken;
    }

    /** Closes the connection, as a disconnecting caller does. */
    public void disconnect() {
        stream.cancel();
    }

    void started(HttpStream sent) {
        stream = sent;
    }

    @Override
    public void onHead(int responseStatus, List<HttpHeader> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
        streamed = header("Content-Type")
                .filter(type -> type.startsWith(EVENT_STREAM))
                .isPresent();
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (!streamed) {
            body.writeBytes(bytes);
            return;
        }
        events.read(bytes);
        if (events.hasText() && firstToken.getCount() > 0) {
            firstTokenMillis = clock.monotonicMillis() - sentMillis;
            firstToken.countDown();
        }
    }

    @Override
    public void onEnd() {
        complete(Optional.empty());
    }

    @Override
    public void onFailure(Failure failure) {
        complete(Optional.of(failure.code() + ": " + failure.detail()));
    }

    private void complete(Optional<String> broken) {
        ResponseBody read = streamed ? events.body() : ResponseBody.of(body.toString(StandardCharsets.UTF_8));
        boolean whole = broken.isEmpty() && (!streamed || events.isDone());
        response.complete(new CallerResponse(
                header("Merlinwood-Request").orElse(""),
                status,
                read.code()
                        .or(() -> header("Merlinwood-Result-Code").map(Integer::valueOf))
                        .map(OptionalInt::of)
                        .orElse(OptionalInt.empty()),
                read.execution().or(() -> header("Merlinwood-Execution")).orElse(""),
                header("Merlinwood-Replayed").filter("true"::equals).isPresent(),
                whole,
                streamed ? events.terminalEvents() : 1,
                read.text(),
                read.finishReason(),
                header("Merlinwood-Retry-After-Millis").map(Long::valueOf),
                firstTokenMillis,
                clock.monotonicMillis() - sentMillis,
                broken));
        firstToken.countDown();
    }

    private Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }
}
