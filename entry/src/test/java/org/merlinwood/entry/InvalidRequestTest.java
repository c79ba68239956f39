package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.MintedKeys;

/** Verifies that invalid requests are refused with a result code and are not sent to a sidecar. */
class InvalidRequestTest {

    private final FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE);
    private final FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
    private final FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN);
    private final EntryFixture fixture = new EntryFixture(decode, prefill, plain);

    @AfterEach
    void close() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "MALFORMED_REQUEST|/v1/completions|{\"model\":",
                "MALFORMED_REQUEST|/v1/completions|[1]",
                "MALFORMED_REQUEST|/v1/completions|{\"model\":\"model\"}",
                "MALFORMED_REQUEST|/v1/completions|{\"model\":7,\"prompt\":\"x\"}",
                "MALFORMED_REQUEST|/v1/completions|{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":0}",
                "MALFORMED_REQUEST|/v1/completions|{\"model\":\"model\",\"prompt\":\"x\",\"stream\":\"yes\"}",
                "MALFORMED_REQUEST|/v1/completions|{\"model\":\"model\",\"prompt\":\"x\"} trailing",
                "MALFORMED_REQUEST|/v1/chat/completions|{\"model\":\"model\",\"messages\":[]}",
                "MALFORMED_REQUEST|/v1/chat/completions|{\"model\":\"model\",\"messages\":[{\"role\":\"user\"}]}",
                "MALFORMED_REQUEST|/merlinwood/keys|{}",
                "UNKNOWN_MODEL|/v1/completions|{\"model\":\"other\",\"prompt\":\"x\"}",
                "PROMPT_TOO_LONG|/v1/completions|{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":8001}",
                "UNKNOWN_ROUTE|/elsewhere|{}",
                "UNKNOWN_ROUTE|/merlinwood/keys|{\"service\":\"summary\"}",
                "METHOD_NOT_ALLOWED|/hydrants/7|{}",
                "KEY_REQUIRED|/bookings|{}",
            })
    void invalidRequestIsRefused(ResultCode expected, String path, String body) throws Exception {
        assertRefused(fixture.post(path, body), expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Basic abc", "Bearer", "Bearer another-token"})
    void unknownCallerIsRefused(String authorization) throws Exception {
        assertRefused(
                fixture.post("/v1/completions", EntryFixture.COMPLETION, "Authorization", authorization),
                ResultCode.UNKNOWN_CALLER);
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-5", "soon", "1.5", "99999999999999999999"})
    void malformedDeadlineIsRefused(String deadline) throws Exception {
        assertRefused(
                fixture.post("/v1/completions", EntryFixture.COMPLETION, "Merlinwood-Deadline-Millis", deadline),
                ResultCode.DEADLINE_MALFORMED);
    }

    @Test
    void oversizedBodyIsRefused() throws Exception {
        assertRefused(
                fixture.post("/v1/completions", "x".repeat(EntryFixture.BODY_BYTES + 1)), ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void oversizedBodyOfUnknownLengthIsRefused() throws Exception {
        byte[] body = "x".repeat(EntryFixture.BODY_BYTES + 1).getBytes(StandardCharsets.UTF_8);
        HttpRequest request = fixture.request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)))
                .build();

        assertRefused(fixture.send(request), ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void tooManyHeadersAreRefused() throws Exception {
        HttpRequest.Builder request = fixture.request("/hydrants/7").GET();
        for (int index = 0; index < 150; index++) {
            request.setHeader("X-Header-" + index, "value");
        }

        assertRefused(fixture.send(request.build()), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void oversizedHeadersAreRefused() throws Exception {
        HttpRequest request = fixture.request("/hydrants/7", "X-Large", "v".repeat(40_000))
                .GET()
                .build();

        assertRefused(fixture.send(request), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void excessiveHeadersOnlyCloseTheConnection() throws Exception {
        HttpRequest.Builder request = fixture.request("/hydrants/7").GET();
        for (int index = 0; index < 2_000; index++) {
            request.setHeader("X-Header-" + index, "value");
        }

        Optional<HttpResponse<String>> response = fixture.trySend(request.build());

        assertThat(response.stream().map(HttpResponse::statusCode)).allMatch(status -> status == 400 || status == 431);
        assertThat(fixture.get("/hydrants/7").statusCode()).isEqualTo(201);
    }

    @Test
    void forgedKeyIsRefused() throws Exception {
        String forged = key("inspector", "ledger", new SharedKey(1, "77".repeat(32)));

        assertRefused(fixture.post("/bookings", "{}", "Idempotency-Key", forged), ResultCode.KEY_NOT_AUTHENTIC);
    }

    @Test
    void keyOfAnotherCallerIsRefused() throws Exception {
        String stolen = key("officer", "ledger", new SharedKey(1, EntryFixture.SECRET));

        assertRefused(fixture.post("/bookings", "{}", "Idempotency-Key", stolen), ResultCode.KEY_NOT_AUTHENTIC);
    }

    @Test
    void keyOfAnotherServiceIsRefused() throws Exception {
        String other = key("inspector", "portal", new SharedKey(1, EntryFixture.SECRET));

        assertRefused(fixture.post("/bookings", "{}", "Idempotency-Key", other), ResultCode.KEY_NOT_AUTHENTIC);
    }

    @ParameterizedTest
    @ValueSource(strings = {"mk1.", "mk1.a.b.c", "mk1.!!.!!", "two words"})
    void malformedKeyIsRefused(String key) throws Exception {
        ResultCode code = ResultCode.KEY_MALFORMED;

        HttpResponse<String> response = fixture.post("/bookings", "{}", "Idempotency-Key", key);

        assertThat(EntryFixture.code(response)).isIn(code.number(), ResultCode.KEY_NOT_AUTHENTIC.number());
        assertThat(response.statusCode()).isIn(400, 403);
        assertThat(plain.received).isEmpty();
    }

    @Test
    void entryWithoutConfigurationRefusesRequests() throws Exception {
        fixture.configure(Optional.empty());

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION);

        assertThat(EntryFixture.code(response)).isEqualTo(ResultCode.NOT_READY.number());
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    private void assertRefused(HttpResponse<String> response, ResultCode expected) throws Exception {
        JsonNode error = EntryFixture.json(response).path("error");
        assertThat(response.statusCode()).isEqualTo(expected.httpStatus());
        assertThat(EntryFixture.code(response)).isEqualTo(expected.number());
        assertThat(error.path("code").intValue()).isEqualTo(expected.number());
        assertThat(error.path("name").textValue()).isEqualTo(expected.name());
        assertThat(error.path("execution").textValue()).isEqualTo("NOT_RUN");
        assertThat(error.path("request").textValue())
                .isEqualTo(response.headers().firstValue("Merlinwood-Request").orElseThrow());
        assertThat(response.body()).doesNotContain("Exception", EntryFixture.TOKEN);
        assertThat(decode.received).isEmpty();
        assertThat(plain.received).isEmpty();
    }

    private String key(String caller, String service, SharedKey secret) {
        return MintedKeys.mint(
                        new ServiceName(service),
                        new InstanceName("plain-1"),
                        new Incarnation(plain.incarnation),
                        new CallerName(caller),
                        1,
                        2,
                        secret)
                .value();
    }
}
