package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.wire.Frame;

/** Tests the responses that callers receive when nothing fails. */
class SuccessfulResponseTest {

    private final FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE);
    private final FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
    private final FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN);
    private final EntryFixture fixture = new EntryFixture(decode, prefill, plain);

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void completionReturnsCompleteBody() throws Exception {
        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        JsonNode body = EntryFixture.json(response);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(EntryFixture.code(response)).isZero();
        assertThat(body.at("/choices/0/text").textValue()).isEqualTo("one two three four");
        assertThat(body.at("/choices/0/finish_reason").textValue()).isEqualTo("stop");
        assertThat(body.at("/usage/completion_tokens").intValue()).isEqualTo(4);
        assertThat(body.at("/usage/prompt_tokens").intValue()).isEqualTo(4);
    }

    @Test
    void chatCompletionReturnsMessage() throws Exception {
        HttpResponse<String> response = fixture.post(
                "/v1/chat/completions",
                "{\"model\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"Which leak?\"}]}");

        assertThat(EntryFixture.json(response).at("/choices/0/message/content").textValue())
                .isEqualTo("one two three four");
    }

    @Test
    void streamedCompletionReturnsEvents() throws Exception {
        HttpResponse<Stream<String>> response = fixture.stream("/v1/completions", EntryFixture.STREAMED);

        List<String> events =
                response.body().filter(line -> line.startsWith("data: ")).toList();
        assertThat(response.headers().firstValue("Content-Type")).contains("text/event-stream");
        assertThat(events).hasSize(FakeSidecar.TOKENS.size() + 2).endsWith("data: [DONE]");
        assertThat(events.getFirst()).contains("\"text\":\"one\"");
        assertThat(events.get(FakeSidecar.TOKENS.size())).contains("\"code\":0", "\"finish_reason\":\"stop\"");
    }

    @Test
    void requestsDecodeGrantBeforePrefillGrant() throws Exception {
        fixture.post("/v1/completions", EntryFixture.COMPLETION);

        Frame execute = decode.received.getLast();
        assertThat(decode.received.getFirst().getGrantRequest().getRequest().getAttempt())
                .isEqualTo(1);
        assertThat(prefill.received.getFirst().getGrantRequest().getRequest().getAttempt())
                .isEqualTo(2);
        assertThat(execute.getExecuteDecode().getCache().getHandle()).isEqualTo("cache-of-prefill-1");
    }

    @Test
    void plainRequestIsRouted() throws Exception {
        HttpResponse<String> response = fixture.get("/hydrants/7?full=1");

        Frame execute = plain.received.getLast();
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("{\"ran\":true}");
        assertThat(EntryFixture.code(response)).isZero();
        assertThat(execute.getExecutePlain().getPath()).isEqualTo("/hydrants/7?full=1");
        assertThat(execute.getExecutePlain().getHeadersList())
                .noneMatch(header -> header.getName().equalsIgnoreCase("authorization"));
    }

    @Test
    void callerKeyIsForwardedToSidecar() throws Exception {
        fixture.post("/bookings", "{\"hydrant\":7}", "Idempotency-Key", "booking-7");

        Frame request = plain.received.getFirst();
        assertThat(request.getGrantRequest().getIdempotencyKey()).isEqualTo("booking-7");
        assertThat(request.getGrantRequest().getNonIdempotent()).isTrue();
    }

    @Test
    void mintedKeyIsSentToItsInstance() throws Exception {
        String key = EntryFixture.json(fixture.post("/merlinwood/keys", "{\"service\":\"ledger\"}"))
                .path("key")
                .textValue();

        HttpResponse<String> response = fixture.post("/bookings", "{\"hydrant\":7}", "Idempotency-Key", key);

        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(plain.received.getFirst().getGrantRequest().getIdempotencyKey())
                .isEqualTo(key);
    }

    @Test
    void mintsKeyForNonIdempotentRequestWithoutKey() throws Exception {
        fixture.post("/notes", "{}");

        assertThat(plain.received.getFirst().getGrantRequest().getIdempotencyKey())
                .startsWith("mk1.");
    }
}
