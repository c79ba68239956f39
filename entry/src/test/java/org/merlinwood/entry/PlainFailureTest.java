package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.rules.Rules;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ExecutionState;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.idempotency.KeyHome;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.AnswerHead;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.RevisionPair;

/** Tests responses to plain requests and the number of their executions when sidecars and connections fail. */
class PlainFailureTest {

    private static final String[] OWN_KEY = {"Idempotency-Key", "booking-7"};

    private final AtomicInteger executions = new AtomicInteger();
    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    // ------------------------------------------------------------------ after execute

    @Test
    void nonIdempotentRequestLostAfterExecuteEndsUnknownWithoutRetry() throws Exception {
        fixture = new EntryFixture(new ConnectionLosingSidecar("plain-1"), new ConnectionLosingSidecar("plain-2"));

        HttpResponse<String> response = fixture.post("/bookings", "{}", OWN_KEY);

        assertFailed(response, ResultCode.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN);
        assertThat(executions).hasValue(1);
    }

    @Test
    void requestWithMintedKeyLostAfterExecuteEndsUnknownWithoutRetry() throws Exception {
        fixture = new EntryFixture(new ConnectionLosingSidecar("plain-1"), new ConnectionLosingSidecar("plain-2"));

        HttpResponse<String> response = fixture.post("/notes", "{}");

        assertFailed(response, ResultCode.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN);
        assertThat(executions).hasValue(1);
    }

    @Test
    void idempotentRequestLostAfterExecuteIsRetriedAtAnotherInstance() throws Exception {
        fixture =
                new EntryFixture(new ConnectionLosingSidecar("plain-1", 1), new ConnectionLosingSidecar("plain-2", 1));

        assertThat(fixture.get("/hydrants/7").statusCode()).isEqualTo(201);
        assertThat(executions).hasValue(2);
    }

    @Test
    void refusalAfterExecuteIsReportedWithoutRetry() throws Exception {
        Failure expired = Failure.retryable(ResultCode.GRANT_EXPIRED, "the grant expired", 100);
        FakeSidecar first = new RefusingExecute("plain-1", expired);
        FakeSidecar second = new RefusingExecute("plain-2", expired);
        fixture = new EntryFixture(first, second);

        HttpResponse<String> response = fixture.post("/notes", "{}");

        assertFailed(response, ResultCode.GRANT_EXPIRED, ExecutionState.NOT_RUN);
        assertThat(executions).hasValue(1);
    }

    @Test
    void responseWithoutStatusIsMalformed() throws Exception {
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                end(exchange, use.getRequest(), 0);
            }
        });

        assertFailed(fixture.post("/notes", "{}"), ResultCode.UPSTREAM_MALFORMED, ExecutionState.UNKNOWN);
    }

    @Test
    void truncatedResponseOfNonIdempotentRequestFails() throws Exception {
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                executions.incrementAndGet();
                exchange.send(Frame.newBuilder()
                        .setAnswerHead(AnswerHead.newBuilder()
                                .setRequest(use.getRequest())
                                .setIncarnation(incarnation)
                                .setStatus(200)));
                end(exchange, use.getRequest(), 12);
            }
        });

        assertFailed(fixture.post("/notes", "{}"), ResultCode.UPSTREAM_TRUNCATED, ExecutionState.UNKNOWN);
        assertThat(executions).hasValue(1);
    }

    // ------------------------------------------------------------------ before execute

    @Test
    void requestWithoutKeyRefusedBeforeExecuteIsRetriedWithAnotherKey() throws Exception {
        AtomicInteger refusals = new AtomicInteger();
        FakeSidecar first = new RefusingFirst("plain-1", refusals);
        FakeSidecar second = new RefusingFirst("plain-2", refusals);
        fixture = new EntryFixture(first, second);

        assertThat(fixture.post("/notes", "{}").statusCode()).isEqualTo(201);
        assertThat(Stream.concat(first.received.stream(), second.received.stream())
                        .filter(Frame::hasGrantRequest)
                        .map(frame -> frame.getGrantRequest().getIdempotencyKey())
                        .distinct())
                .hasSize(2);
    }

    @Test
    void callerKeyIsSentOnlyToItsHomeEvenIfRefused() throws Exception {
        Failure draining = Failure.retryable(ResultCode.DRAINING, "the instance is draining", 100);
        RefusingGrant first = new RefusingGrant("plain-1", draining);
        RefusingGrant second = new RefusingGrant("plain-2", draining);
        fixture = new EntryFixture(first, second);

        HttpResponse<String> response = fixture.post("/bookings", "{}", OWN_KEY);

        assertFailed(response, ResultCode.DRAINING, ExecutionState.NOT_RUN);
        assertThat(first.received.size() + second.received.size()).isEqualTo(1);
    }

    /** The entry cannot know whether an earlier request with the key ran, so it must not report NOT_RUN. */
    @Test
    void unreachableHomeFailsWithRetryAfterAndUnknownOutcome() throws Exception {
        FakeSidecar first = new FakeSidecar("plain-1", InstanceRole.PLAIN);
        FakeSidecar second = new FakeSidecar("plain-2", InstanceRole.PLAIN);
        fixture = new EntryFixture(first, second);
        FakeSidecar home = home(first, second);
        FakeSidecar other = home.equals(first) ? second : first;
        home.close();

        HttpResponse<String> response = fixture.post("/bookings", "{}", OWN_KEY);

        assertFailed(response, ResultCode.KEY_HOME_UNREACHABLE, ExecutionState.UNKNOWN);
        assertThat(EntryFixture.json(response).at("/error/retryAfterMillis").longValue())
                .isPositive();
        assertThat(other.received).isEmpty();
    }

    @Test
    void mintedKeyOfRemovedInstanceEndsUnknownWithoutRetryAfter() throws Exception {
        FakeSidecar first = new FakeSidecar("plain-1", InstanceRole.PLAIN);
        FakeSidecar second = new FakeSidecar("plain-2", InstanceRole.PLAIN);
        fixture = new EntryFixture(first);
        String key = EntryFixture.json(fixture.post("/merlinwood/keys", "{\"service\":\"ledger\"}"))
                .path("key")
                .textValue();
        fixture.configure(Optional.of(EntryFixture.configuration(2, 20, second)));

        HttpResponse<String> response = fixture.post("/bookings", "{}", "Idempotency-Key", key);

        assertFailed(response, ResultCode.OUTCOME_UNKNOWN, ExecutionState.UNKNOWN);
        assertThat(response.headers().firstValue("Retry-After")).isEmpty();
        assertThat(second.received).isEmpty();
        second.close();
    }

    @Test
    void unansweredGrantRequestIsRepeatedForCallerKey() throws Exception {
        AtomicInteger grantRequests = new AtomicInteger();
        fixture = new EntryFixture(new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (grantRequests.getAndIncrement() > 0) {
                    grant(exchange);
                }
            }
        });

        assertThat(fixture.post("/bookings", "{}", OWN_KEY).statusCode()).isEqualTo(201);
    }

    // ------------------------------------------------------------------ keys and revisions

    @Test
    void requestsWithSameKeyAreSentToOneHome() throws Exception {
        AtomicInteger grantRequests = new AtomicInteger();
        AtomicReference<Runnable> sendResponse = new AtomicReference<>();
        class OneAtATime extends FakeSidecar {
            OneAtATime(String name) {
                super(name, InstanceRole.PLAIN);
            }

            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (grantRequests.getAndIncrement() == 0) {
                    grant(exchange);
                } else {
                    refuse(
                            exchange,
                            Failure.retryable(ResultCode.KEY_IN_PROGRESS, "the first request is running", 200));
                }
            }

            @Override
            void onPlain(Exchange exchange, GrantUse use, ByteString body) {
                sendResponse.set(() -> super.onPlain(exchange, use, body));
            }
        }
        fixture = new EntryFixture(new OneAtATime("plain-1"), new OneAtATime("plain-2"));

        CompletableFuture<HttpResponse<String>> first = fixture.postAsync("/bookings", "{}", OWN_KEY);
        EntryFixture.await(() -> sendResponse.get() != null);
        HttpResponse<String> second = fixture.post("/bookings", "{}", OWN_KEY);
        sendResponse.get().run();

        assertFailed(second, ResultCode.KEY_IN_PROGRESS, ExecutionState.UNKNOWN);
        assertThat(first.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(201);
    }

    @Test
    void entryWithOlderRevisionUpdatesBeforeRetry() throws Exception {
        AtomicReference<Runnable> publish = new AtomicReference<>();
        FakeSidecar sidecar = new FakeSidecar("plain-1", InstanceRole.PLAIN) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (frame.getGrantRequest().getRevisions().getInventory() < 2) {
                    exchange.send(Frame.newBuilder()
                            .setRefused(WireValues.toRefused(
                                            Failure.retryable(ResultCode.REVISION_BEHIND, "revision 2 is active", 10))
                                    .setRevisions(RevisionPair.newBuilder()
                                            .setInventory(2)
                                            .setRules(2))));
                    exchange.finish();
                    publish.get().run();
                } else {
                    grant(exchange);
                }
            }
        };
        fixture = new EntryFixture(sidecar);
        ActiveConfiguration later = EntryFixture.configuration(2, 20, sidecar);
        publish.set(() -> fixture.configure(Optional.of(later)));

        assertThat(fixture.post("/bookings", "{}", OWN_KEY).statusCode()).isEqualTo(201);
    }

    // ------------------------------------------------------------------ internals

    private static FakeSidecar home(FakeSidecar first, FakeSidecar second) {
        ActiveConfiguration configuration = EntryFixture.configuration(1, 20, first, second);
        Rules rules = configuration.rules();
        ServiceName service = rules.routes().getFirst().service();
        return KeyHome.of(new IdempotencyKey(OWN_KEY[1]), configuration.inventory(), service)
                        .orElseThrow()
                        .name()
                        .equals(first.name)
                ? first
                : second;
    }

    private static void assertFailed(HttpResponse<String> response, ResultCode code, ExecutionState execution)
            throws Exception {
        JsonNode error = EntryFixture.json(response).path("error");
        assertThat(error.path("name").asText()).isEqualTo(code.name());
        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
        assertThat(error.path("execution").asText()).isEqualTo(execution.name());
        assertThat(response.headers().firstValue("Merlinwood-Execution")).contains(execution.name());
    }

    /** Closes the connection on an execute message, for the first executions across all sidecars. */
    private final class ConnectionLosingSidecar extends FakeSidecar {

        private final int losses;

        private ConnectionLosingSidecar(String name) {
            this(name, Integer.MAX_VALUE);
        }

        private ConnectionLosingSidecar(String name, int losses) {
            super(name, InstanceRole.PLAIN);
            this.losses = losses;
        }

        @Override
        void onPlain(Exchange exchange, GrantUse use, ByteString body) {
            if (executions.getAndIncrement() < losses) {
                exchange.connection().close(ResultCode.CONNECTION_LOST);
            } else {
                super.onPlain(exchange, use, body);
            }
        }
    }

    private final class RefusingExecute extends FakeSidecar {

        private final Failure failure;

        private RefusingExecute(String name, Failure failure) {
            super(name, InstanceRole.PLAIN);
            this.failure = failure;
        }

        @Override
        void onPlain(Exchange exchange, GrantUse use, ByteString body) {
            executions.incrementAndGet();
            refuse(exchange, failure);
        }
    }

    private static final class RefusingGrant extends FakeSidecar {

        private final Failure failure;

        private RefusingGrant(String name, Failure failure) {
            super(name, InstanceRole.PLAIN);
            this.failure = failure;
        }

        @Override
        void onGrantRequest(Exchange exchange, Frame frame) {
            refuse(exchange, failure);
        }
    }

    private static final class RefusingFirst extends FakeSidecar {

        private final AtomicInteger refusals;

        private RefusingFirst(String name, AtomicInteger refusals) {
            super(name, InstanceRole.PLAIN);
            this.refusals = refusals;
        }

        @Override
        void onGrantRequest(Exchange exchange, Frame frame) {
            if (refusals.getAndIncrement() == 0) {
                refuse(exchange, Failure.retryable(ResultCode.NO_CAPACITY, "full", 100));
            } else {
                grant(exchange);
            }
        }
    }
}
