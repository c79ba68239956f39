package org.merlinwood.proving;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.merlinwood.configuration.rules.Limits;
import org.merlinwood.http.HttpClient;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpRequest;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.proving.fleet.Fleet;
import org.merlinwood.proving.fleet.FleetDocuments;
import org.merlinwood.proving.fleet.FleetPlan;
import org.merlinwood.proving.fleet.FleetPlan.PlainPool;
import org.merlinwood.standin.plain.PlainFault;

/** Checks that a fleet responds to invalid input with a numbered error and not with a hang, a stack trace or a 200. */
final class BadInputTest {

    private static final int TIMEOUT_SECONDS = 30;
    private static final int BODY_BYTES = 64 << 10;
    private static final int HEADERS = 400;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static Fleet fleet;
    private static HttpClient client;

    @BeforeAll
    static void start() {
        Limits limits = new Limits(600_000, 1_000, 1 << 20, 2_000, 5_000, 20, BODY_BYTES, 20_000, 600_000, 200);
        fleet = Fleet.start(FleetPlan.builder()
                .entries(1)
                .engines(1, 1)
                .plainServices(List.of(new PlainPool(FleetDocuments.LEDGER, 1)))
                .limits(limits)
                .build());
        client = HttpClient.create("test", 1);
    }

    @AfterAll
    static void stop() {
        if (fleet != null) {
            fleet.close();
            client.close();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST | /v1/completions      | {\"model\":                                        | 400 | 1001",
                "POST | /v1/completions      | []                                                  | 400 | 1001",
                "POST | /v1/completions      | {\"model\":\"report-summary\"}                      | 400 | 1001",
                "POST | /v1/chat/completions | {\"model\":\"report-summary\",\"messages\":7}       | 400 | 1001",
                "POST | /v1/completions      | {\"model\":\"none\",\"prompt\":\"p\"}               | 404 | 1004",
                "GET  | /nowhere             | ''                                                  | 404 | 1005",
                "POST | /bookings            | {}                                                  | 400 | 1006",
                "DELETE | /bookings          | ''                                                  | 405 | 1011"
            })
    void invalidRequestIsRefusedWithItsCode(String method, String path, String body, int status, int code)
            throws Exception {
        assertRefused(send(method, path, body, authorized()), status, code);
    }

    @Test
    void unknownCallerIsRefused() throws Exception {
        List<HttpHeader> headers = List.of(new HttpHeader("Authorization", "Bearer nobody"));
        assertRefused(send("GET", "/hydrants/H-1", "", headers), 401, 1003);
    }

    @Test
    void bodyOverTheLimitIsRefused() throws Exception {
        String body = "{\"model\":\"report-summary\",\"prompt\":\"" + "x".repeat(2 * BODY_BYTES) + "\"}";
        assertRefused(send("POST", "/v1/completions", body, authorized()), 413, 1002);
    }

    @ParameterizedTest
    @CsvSource({"-5", "soon", "0"})
    void invalidDeadlineIsRefused(String deadline) throws Exception {
        List<HttpHeader> headers = new ArrayList<>(authorized());
        headers.add(new HttpHeader("Merlinwood-Deadline-Millis", deadline));
        assertRefused(send("GET", "/hydrants/H-1", "", headers), 400, 1009);
    }

    @Test
    void tooManyHeadersAreRefused() throws Exception {
        List<HttpHeader> headers = new ArrayList<>(authorized());
        for (int number = 0; number < HEADERS; number++) {
            headers.add(new HttpHeader("Flood-" + number, "x"));
        }
        assertRefused(send("GET", "/hydrants/H-1", "", headers), 431, 1014);
    }

    @Test
    void responseLengthBeyondInstanceMemoryIsRefused() throws Exception {
        String body = "{\"model\":\"report-summary\",\"prompt\":\"p\",\"max_tokens\":10000000}";
        assertRefused(send("POST", "/v1/completions", body, authorized()), 413, 1010);
    }

    @ParameterizedTest
    @EnumSource(
            value = PlainFault.class,
            names = {"GARBAGE", "TRUNCATE"})
    void invalidUpstreamResponseIsReportedAsUnknownOutcome(PlainFault fault) throws Exception {
        List<HttpHeader> headers = new ArrayList<>(authorized());
        headers.add(new HttpHeader("Idempotency-Key", mintedKey()));
        HttpResponse response = send("POST", "/bookings", "{\"note\":\"[fault " + fault + "]\"}", headers);
        assertThat(response.status()).isGreaterThanOrEqualTo(500);
        assertThat(error(response).path("execution").asText()).isEqualTo("UNKNOWN");
    }

    private static void assertRefused(HttpResponse response, int status, int code) throws Exception {
        assertThat(response.status()).as(response.text()).isEqualTo(status);
        assertThat(response.header("Merlinwood-Result-Code")).contains(String.valueOf(code));
        assertThat(error(response).path("code").asInt()).isEqualTo(code);
        assertThat(error(response).path("execution").asText()).isEqualTo("NOT_RUN");
        assertThat(response.text()).doesNotContain("Exception", "\tat ");
    }

    private static JsonNode error(HttpResponse response) throws Exception {
        return MAPPER.readTree(response.text()).path("error");
    }

    private static String mintedKey() throws Exception {
        HttpResponse response = send("POST", "/merlinwood/keys", "{\"service\":\"hydrant-ledger\"}", authorized());
        return MAPPER.readTree(response.text()).path("key").asText();
    }

    private static List<HttpHeader> authorized() {
        return List.of(new HttpHeader("Authorization", "Bearer " + FleetDocuments.INSPECTOR_TOKEN));
    }

    private static HttpResponse send(String method, String path, String body, List<HttpHeader> headers)
            throws Exception {
        HttpRequest request = HttpRequest.of(
                        method, fleet.entries().getFirst().callerAddress(), path, body.getBytes(StandardCharsets.UTF_8))
                .withHeaders(headers);
        return client.execute(request)
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .get();
    }
}
