package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;

/** Tests model requests that are sent again with the same key while the first one is open. */
class SupersededRequestTest {

    private static final String[] KEY = {"Idempotency-Key", "summary-7"};

    private final AtomicInteger decodes = new AtomicInteger();
    private final FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
        @Override
        void onDecode(Exchange exchange, ExecuteDecode execute) {
            if (decodes.getAndIncrement() > 0) {
                super.onDecode(exchange, execute);
            }
        }
    };
    private final EntryFixture fixture = new EntryFixture(decode, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void laterRequestCompletesAndFirstIsCancelled() throws Exception {
        CompletableFuture<HttpResponse<String>> first =
                fixture.postAsync("/v1/completions", EntryFixture.COMPLETION, KEY);
        EntryFixture.await(() -> decodes.get() == 1);

        HttpResponse<String> second = fixture.post("/v1/completions", EntryFixture.COMPLETION, KEY);

        assertThat(second.statusCode()).isEqualTo(200);
        assertThat(EntryFixture.code(first.get(20, TimeUnit.SECONDS))).isEqualTo(ResultCode.SUPERSEDED.number());
        assertThat(decode.count(Frame.BodyCase.CANCEL)).isEqualTo(1);
    }

    @Test
    void differentRequestWithSameKeyIsRefusedAndFirstContinues() throws Exception {
        CompletableFuture<HttpResponse<String>> first =
                fixture.postAsync("/v1/completions", EntryFixture.COMPLETION, KEY);
        EntryFixture.await(() -> decodes.get() == 1);

        HttpResponse<String> second =
                fixture.post("/v1/completions", "{\"model\":\"model\",\"prompt\":\"Another one.\"}", KEY);

        assertThat(EntryFixture.code(second)).isEqualTo(ResultCode.KEY_REUSED.number());
        assertThat(first).isNotDone();
    }
}
