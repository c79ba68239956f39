package org.merlinwood.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.configuration.inventory.InstanceRole;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.configuration.inventory.Model;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.decision.prefix.PrefixBlocks;
import org.merlinwood.decision.suspicion.PrefixSuspicionRegistry;
import org.merlinwood.following.ActiveConfiguration;
import org.merlinwood.protocol.Exchange;
import org.merlinwood.protocol.WireValues;
import org.merlinwood.wire.CacheHandle;
import org.merlinwood.wire.ExecuteDecode;
import org.merlinwood.wire.Frame;
import org.merlinwood.wire.GrantUse;
import org.merlinwood.wire.Granted;
import org.merlinwood.wire.Load;
import org.merlinwood.wire.PrefillDone;

/** Tests admission and placement decisions that are based on observations of earlier requests. */
class AdaptivePlacementTest {

    private static final String PATH = "/v1/completions";
    private static final int LONG_PROMPT_BYTES = 28_000;
    private static final int COMPARED_BYTES = PrefixSuspicionRegistry.MAXIMUM_PREFIXES * PrefixBlocks.BLOCK_BYTES;
    private static final int REPETITIONS = 10;
    private static final int WAITING_REQUESTS = 15;
    private static final int THREE_PIECES_TOKENS = 5_000;
    private static final int DECODE_GRANT_MILLIS = 500;
    private static final int REFUSAL_MILLIS = 300;

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void slowPrefillCausesRefusalOfLongPrompt() throws Exception {
        fixture = new EntryFixture(
                new FakeSidecar("decode-1", InstanceRole.DECODE), new ReportingPrefill("prefill-1", 256, 0, 800));
        assertThat(fixture.post(PATH, EntryFixture.COMPLETION).statusCode()).isEqualTo(200);

        assertRefused(fixture.post(PATH, prompt(LONG_PROMPT_BYTES, 8)));
    }

    @Test
    void slowTransferCausesRefusalOfLargeCache() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onDecode(Exchange exchange, ExecuteDecode execute) {
                pause(500);
                super.onDecode(exchange, execute);
            }
        };
        FakeSidecar prefill = new ReportingPrefill("prefill-1", 0, 1_000_000, 0);
        fixture = new EntryFixture(decode, prefill);
        fixture.configure(Optional.of(withLargeCaches(decode, prefill)));
        assertThat(fixture.post(PATH, EntryFixture.COMPLETION).statusCode()).isEqualTo(200);

        assertRefused(fixture.post(PATH, prompt(LONG_PROMPT_BYTES, 8)));
    }

    @Test
    void promptIsPlacedAtInstanceWithCachedPrefixes() throws Exception {
        FakeSidecar first = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
        FakeSidecar second = new FakeSidecar("prefill-2", InstanceRole.PREFILL);
        fixture = new EntryFixture(new FakeSidecar("decode-1", InstanceRole.DECODE), first, second);

        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            assertThat(fixture.post(PATH, prompt(LONG_PROMPT_BYTES, 8)).statusCode())
                    .isEqualTo(200);
        }

        assertThat(List.of(first.count(Frame.BodyCase.EXECUTE_PREFILL), second.count(Frame.BodyCase.EXECUTE_PREFILL)))
                .containsExactlyInAnyOrder(0L, (long) REPETITIONS);
    }

    /**
     * The load reported with a grant includes the three granted pieces, the load reported with a refusal does not. So
     * the refusing instance has no capacity for three pieces, while the other one has as soon as its work has ended.
     */
    @Test
    void loadOfGrantIncludesAttemptAndLoadOfRefusalDoesNot() throws Exception {
        FakeSidecar full = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                refuseWithLoad(exchange, 2);
            }
        };
        FakeSidecar free = new FakeSidecar("decode-2", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (full.count(Frame.BodyCase.GRANT_REQUEST) == 0) {
                    refuseWithLoad(exchange, 10);
                } else {
                    exchange.send(Frame.newBuilder()
                            .setGranted(Granted.newBuilder()
                                    .setGrant(1 + count(Frame.BodyCase.GRANT_REQUEST))
                                    .setIncarnation(incarnation)
                                    .setExpiresInMillis(5_000)
                                    .setLoad(load(0))));
                }
            }
        };
        fixture = new EntryFixture(full, free, new FakeSidecar("prefill-1", InstanceRole.PREFILL));

        fixture.post(PATH, prompt(4, THREE_PIECES_TOKENS));
        fixture.post(PATH, prompt(4, THREE_PIECES_TOKENS));
        HttpResponse<String> last = fixture.post(PATH, prompt(4, THREE_PIECES_TOKENS));

        assertThat(last.statusCode()).isEqualTo(200);
        assertThat(full.count(Frame.BodyCase.GRANT_REQUEST)).isEqualTo(1);
    }

    /** The time spent waiting for the decode grant is subtracted from the wait for the prefill grant. */
    @Test
    void prefillMayWaitForRemainingTargetTime() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                pause(300);
                exchange.send(Frame.newBuilder()
                        .setGranted(Granted.newBuilder()
                                .setGrant(1)
                                .setIncarnation(incarnation)
                                .setExpiresInMillis(60_000)
                                .setLoad(load(10))));
            }
        };
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
        fixture = new EntryFixture(decode, prefill);

        fixture.post(PATH, EntryFixture.COMPLETION);

        assertThat(waitMillis(decode) - waitMillis(prefill)).isGreaterThanOrEqualTo(300);
    }

    /** Guards against a prefill that waits for its grant longer than the decode grant is still valid. */
    @Test
    void nextPrefillWaitsForRemainingTimeOfDecodeGrant() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                exchange.send(Frame.newBuilder()
                        .setGranted(Granted.newBuilder()
                                .setGrant(1)
                                .setIncarnation(incarnation)
                                .setExpiresInMillis(DECODE_GRANT_MILLIS)
                                .setLoad(load(10))));
            }
        };
        FakeSidecar first = new RefusingPrefill("prefill-1");
        FakeSidecar second = new RefusingPrefill("prefill-2");
        fixture = new EntryFixture(decode, first, second);

        fixture.post(PATH, EntryFixture.COMPLETION);

        assertThat(waitMillis(first)).isLessThanOrEqualTo(DECODE_GRANT_MILLIS);
        assertThat(Math.abs(waitMillis(first) - waitMillis(second))).isGreaterThanOrEqualTo(REFUSAL_MILLIS);
    }

    /** Each request needs one piece for its prompt, but three pieces for prompt and response. */
    @Test
    void waitingPrefillsAreCountedWithoutResponseMemory() throws Exception {
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL) {
            @Override
            void onGrantRequest(Exchange exchange, Frame frame) {
                if (count(Frame.BodyCase.GRANT_REQUEST) <= WAITING_REQUESTS) {
                    queued(exchange);
                } else {
                    grant(exchange);
                }
            }
        };
        fixture = new EntryFixture(new FakeSidecar("decode-1", InstanceRole.DECODE), prefill);
        for (int request = 1; request <= WAITING_REQUESTS; request++) {
            int expectedCount = request;
            var unused = fixture.postAsync(PATH, prompt(4, THREE_PIECES_TOKENS));
            EntryFixture.await(() -> prefill.count(Frame.BodyCase.GRANT_REQUEST) == expectedCount);
        }

        assertThat(fixture.post(PATH, EntryFixture.COMPLETION).statusCode()).isEqualTo(200);
    }

    @Test
    void grantRequestContainsThePrefixesOfThePromptThatSidecarsCompareAndNoMore() throws Exception {
        FakeSidecar decode = new FakeSidecar("decode-1", InstanceRole.DECODE);
        FakeSidecar prefill = new FakeSidecar("prefill-1", InstanceRole.PREFILL);
        fixture = new EntryFixture(decode, prefill);

        fixture.post(PATH, prompt(COMPARED_BYTES + PrefixBlocks.BLOCK_BYTES, 8));

        for (FakeSidecar sidecar : List.of(decode, prefill)) {
            assertThat(sidecar.received.getFirst().getGrantRequest().getPrefixBlocksList())
                    .isEqualTo(PrefixBlocks.of("x".repeat(COMPARED_BYTES)).hashes());
        }
    }

    // ------------------------------------------------------------------ helpers

    private static void assertRefused(HttpResponse<String> response) {
        assertThat(EntryFixture.code(response)).isEqualTo(ResultCode.DEADLINE_UNREACHABLE.number());
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    private static String prompt(int bytes, int maximumTokens) {
        return "{\"model\":\"model\",\"prompt\":\"%s\",\"max_tokens\":%d}".formatted("x".repeat(bytes), maximumTokens);
    }

    private static int waitMillis(FakeSidecar sidecar) {
        return sidecar.received.getFirst().getGrantRequest().getWaitMillis();
    }

    private static void refuseWithLoad(Exchange exchange, int freePieces) {
        exchange.send(Frame.newBuilder()
                .setRefused(WireValues.toRefused(Failure.retryable(ResultCode.NO_CAPACITY, "full", 10))
                        .setLoad(load(freePieces))));
        exchange.finish();
    }

    private static Load.Builder load(int freePieces) {
        return Load.newBuilder().setFreePieces(freePieces).setTotalPieces(20);
    }

    private static ActiveConfiguration withLargeCaches(FakeSidecar... sidecars) {
        ActiveConfiguration usual = EntryFixture.configuration(2, 20, sidecars);
        Inventory inventory = Inventory.of(
                2,
                List.copyOf(usual.inventory().instances().values()),
                List.of(new Model(new ModelName("model"), "1", "weights", List.of(), 8_000, 100_000)));
        return new ActiveConfiguration(inventory, usual.rules());
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Refuses each grant request after a delay. */
    private static final class RefusingPrefill extends FakeSidecar {

        RefusingPrefill(String name) {
            super(name, InstanceRole.PREFILL);
        }

        @Override
        void onGrantRequest(Exchange exchange, Frame frame) {
            pause(REFUSAL_MILLIS);
            refuseWithLoad(exchange, 0);
        }
    }

    /** Reports the number of computed tokens after a delay. */
    private static final class ReportingPrefill extends FakeSidecar {

        private final int computedTokens;
        private final long cacheBytes;
        private final long durationMillis;

        ReportingPrefill(String name, int computedTokens, long cacheBytes, long durationMillis) {
            super(name, InstanceRole.PREFILL);
            this.computedTokens = computedTokens;
            this.cacheBytes = cacheBytes;
            this.durationMillis = durationMillis;
        }

        @Override
        void onPrefill(Exchange exchange, GrantUse use) {
            pause(durationMillis);
            exchange.send(Frame.newBuilder()
                    .setPrefillDone(PrefillDone.newBuilder()
                            .setRequest(use.getRequest())
                            .setComputedTokens(computedTokens)
                            .setCache(
                                    CacheHandle.newBuilder().setHandle("cache").setBytes(cacheBytes))));
            exchange.finish();
        }
    }
}
