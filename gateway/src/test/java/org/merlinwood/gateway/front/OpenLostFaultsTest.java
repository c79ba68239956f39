package org.merlinwood.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.gateway.FakeHttpClient.SentRequest;
import org.merlinwood.gateway.FakeUpstreamProtocol;
import org.merlinwood.gateway.fleet.Stage;
import org.merlinwood.gateway.route.RequestKind;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpRequest;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against responses that end before what must precede their end is sure. The faults are open; listed in
 * KNOWN-RED.txt, and the build passes over this class until they are mended.
 */
@Tag("known-red")
final class OpenLostFaultsTest {

    /** Time without a response after which a plain request may be sent to another instance, in milliseconds. */
    private static final long PLAIN_SILENCE_MILLIS = RequestProcessorFixture.CALLER_TIME_MILLIS / 2;

    /** How the replacement of a plain attempt comes to nothing. */
    enum ReplacementEnd {
        DECLINED,
        UNREACHED,
        BROKEN;

        private void apply(SentRequest replacement) {
            switch (this) {
                case DECLINED -> replacement.respond(503, "", FakeUpstreamProtocol.NOT_RUN);
                case UNREACHED -> replacement.fail(ResultCode.UPSTREAM_UNREACHABLE, ExecutionState.NOT_RUN);
                case BROKEN -> replacement.fail(ResultCode.CONNECTION_LOST, ExecutionState.UNKNOWN);
            }
        }
    }

    /** A sound instance takes longer than half the time; its attempt must outlive a replacement that is not run. */
    @ParameterizedTest
    @EnumSource(ReplacementEnd.class)
    void plainRequestOutlivesAReplacementThatComesToNothing(ReplacementEnd end) {
        RequestProcessorFixture fixture = new RequestProcessorFixture(RequestKind.IDEMPOTENT, false);
        fixture.register(Stage.PLAIN, "a", "b");
        fixture.sendRequest("/p/x");
        SentRequest attempt = fixture.client.last();
        fixture.loop.advance(PLAIN_SILENCE_MILLIS);
        SentRequest replacement = fixture.client.last();
        assertThat(replacement).isNotSameAs(attempt);
        end.apply(replacement);
        assertThat(fixture.caller.status).isZero();
        attempt.respond(200, "whole", RequestProcessorFixture.MATCHING_RESPONSE_HEADERS);
        assertThat(fixture.caller.status).isEqualTo(200);
        assertThat(fixture.caller.body).isEqualTo("whole");
    }

    /** A connection that fails at once must not be reported before its request is known: nothing could cancel it. */
    @Test
    void connectionThatFailsAtOnceIsReportedAfterItsRequestIsKnown() throws Exception {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        CompletableFuture<Boolean> reportedAfterSend = new CompletableFuture<>();
        InetSocketAddress broadcast = new InetSocketAddress("127.255.255.255", 9);
        HttpRequest request = HttpRequest.of("POST", broadcast, "/x", "body".getBytes(StandardCharsets.UTF_8));
        worker.getIoThread().execute(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            HttpClient.withWorker(worker)
                    .execute(request, response -> reportedAfterSend.complete(response.isLeft() && sent.get()));
            sent.set(true);
        });
        assertThat(reportedAfterSend.get(5, TimeUnit.SECONDS)).isTrue();
        worker.shutdownNow();
    }
}
