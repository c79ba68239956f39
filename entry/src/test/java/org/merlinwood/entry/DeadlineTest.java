package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;

/**
 * Verifies that a request ends immediately when its deadline passes, in every stage, and that its work is cancelled. A
 * first request opens the connections, so that the deadline of the second one passes in the stalled stage.
 */
class DeadlineTest {

    private static final String[] DEADLINE = {"Merlinwood-Deadline-Millis", "800"};

    private EntryFixture fixture;
    private volatile boolean stalls;

    @AfterEach
    void close() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource({"DECODE_GRANT,NOT_RUN", "PREFILL_GRANT,NOT_RUN", "PREFILL,UNKNOWN", "DECODE,UNKNOWN"})
    void modelRequestEndsAtDeadlineInEveryStage(String stage, String execution) throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                grantUnless(stalls && stage.equals("DECODE_GRANT"), exchange);
            }

            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                if (!stalls) {
                    super.onDecode(exchange, execute);
                }
            }

            private void grantUnless(boolean isStalling, Exchange exchange) {
                if (isStalling) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }
        };
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (stalls && stage.equals("PREFILL_GRANT")) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }

            @Override
            void onPrefill(Exchange exchange, GrantUse use) {
                if (!stalls || !stage.equals("PREFILL")) {
                    super.onPrefill(exchange, use);
                }
            }
        };
        fixture = new EntryFixture(decode, prefill);
        fixture.post("/v1/completions", EntryFixture.COMPLETION);
        stalls = true;

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION, DEADLINE);

        assertDeadlinePassed(response, execution);
        EntryFixture.await(() -> decode.count(Frame.BodyCase.CANCEL) == 1);
    }

    @ParameterizedTest
    @CsvSource({"/notes,NOT_RUN", "/bookings,UNKNOWN"})
    void plainRequestWaitingForGrantEndsAtDeadline(String path, String execution) throws Exception {
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (stalls) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }
        };
        fixture = new EntryFixture(plain);
        fixture.get("/hydrants/7");
        stalls = true;
        String[] headers = path.equals("/notes")
                ? DEADLINE
                : new String[] {DEADLINE[0], DEADLINE[1], "Idempotency-Key", "booking-7"};

        assertDeadlinePassed(fixture.post(path, "{}", headers), execution);
        EntryFixture.await(() -> plain.count(Frame.BodyCase.CANCEL) == 1);
    }

    @Test
    void runningPlainRequestEndsWithUnknownOutcome() throws Exception {
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                if (!stalls) {
                    super.onPlain(exchange, use, body);
                }
            }
        };
        fixture = new EntryFixture(plain);
        fixture.get("/hydrants/7");
        stalls = true;

        assertDeadlinePassed(fixture.post("/notes", "{}", DEADLINE), "UNKNOWN");
    }

    private static void assertDeadlinePassed(HttpResponse<String> response, String execution) throws Exception {
        assertThat(EntryFixture.code(response)).isEqualTo(ResultCode.DEADLINE_PASSED.number());
        assertThat(response.statusCode()).isEqualTo(504);
        assertThat(EntryFixture.json(response).at("/error/execution").textValue())
                .isEqualTo(execution);
        assertThat(EntryFixture.json(response).at("/error/retryAfterMillis").longValue())
                .isPositive();
    }
}
