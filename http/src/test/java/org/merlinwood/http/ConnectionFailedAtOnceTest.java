package org.merlinwood.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against requests whose end is reported before their sender has them, so that they are kept for ever. */
final class ConnectionFailedAtOnceTest {

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
