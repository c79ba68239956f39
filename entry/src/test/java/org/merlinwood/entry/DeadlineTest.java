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

/** A deadline that passes ends the request at once, whatever its stage, and what it held is cancelled. */
class DeadlineTest {

    private static final String[] DEADLINE = {"Merlinwood-Deadline-Millis", "400"};

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource({"DECODE_GRANT,NOT_RUN", "PREFILL_GRANT,NOT_RUN", "PREFILL,UNKNOWN", "DECODE,UNKNOWN"})
    void aModelRequestEnds(String stage, String execution) throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                answerUnless(stage.equals("DECODE_GRANT"), exchange);
            }

            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {}

            private void answerUnless(boolean isStalled, Exchange exchange) {
                if (isStalled) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }
        };
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (stage.equals("PREFILL_GRANT")) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }

            @Override
            void onPrefill(Exchange exchange, GrantUse use) {
                if (!stage.equals("PREFILL")) {
                    super.onPrefill(exchange, use);
                }
            }
        };
        fixture = new EntryFixture(decode, prefill);

        HttpResponse<String> response = fixture.post("/v1/completions", EntryFixture.COMPLETION, DEADLINE);

        assertDeadlinePassed(response, execution);
        EntryFixture.await(() -> decode.count(Frame.BodyCase.CANCEL) == 1);
    }

    @ParameterizedTest
    @CsvSource({"/notes,NOT_RUN", "/bookings,UNKNOWN"})
    void aPlainCallThatWaitsForItsGrantEnds(String path, String execution) throws Exception {
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                queued(exchange);
            }
        };
        fixture = new EntryFixture(plain);
        String[] headers = path.equals("/notes")
                ? DEADLINE
                : new String[] {DEADLINE[0], DEADLINE[1], "Idempotency-Key", "booking-7"};

        assertDeadlinePassed(fixture.post(path, "{}", headers), execution);
        EntryFixture.await(() -> plain.count(Frame.BodyCase.CANCEL) == 1);
    }

    @Test
    void aPlainCallThatRunsEndsUnknown() throws Exception {
        FakeSidecar plain = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {}
        };
        fixture = new EntryFixture(plain);

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
