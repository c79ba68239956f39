package org.merlinwood.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.HttpTestClient;
import org.merlinwood.standin.network.Addresses;

final class PrefillTest {

    private static final String LONG_PROMPT = "word ".repeat(1_000);

    private final EngineFixture fixture = new EngineFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void exportsResultToDecodeEngine() throws Exception {
        ModelEngine prefill = fixture.start(EngineOptions.builder().resultMillis(10_000));
        ModelEngine decode = fixture.start(EngineOptions.builder());
        HttpResponse response = decodeWithCache(decode, prefill, fixture.prefill(prefill, LONG_PROMPT));
        assertThat(EngineFixture.tokens(response)).isEqualTo(ExpectedResponse.tokens(LONG_PROMPT, 10));
        HttpTestClient.await(() -> prefill.ledger().heldPieces() == 0);
        assertThat(prefill.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.EXPORTED);
    }

    @Test
    void evictsResultThatIsNotExported() throws Exception {
        ModelEngine prefill = fixture.start(EngineOptions.builder().resultMillis(1));
        ModelEngine decode = fixture.start(EngineOptions.builder());
        HttpResponse result = fixture.prefill(prefill, LONG_PROMPT);
        HttpTestClient.await(() -> prefill.ledger().heldPieces() == 0);
        assertThat(prefill.ledger().runs().getFirst().outcome()).isEqualTo(EngineRun.Outcome.EVICTED);
        assertThat(decodeWithCache(decode, prefill, result).status()).isEqualTo(424);
        assertThat(decode.ledger().heldPieces()).isZero();
    }

    @Test
    void computesOnlyTokensMissingFromPrefixCache() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().cacheEvents(0, 0));
        JsonNode first =
                EngineFixture.JSON.readTree(fixture.prefill(engine, LONG_PROMPT).text());
        JsonNode second =
                EngineFixture.JSON.readTree(fixture.prefill(engine, LONG_PROMPT).text());
        assertThat(first.path("computedTokens").asInt()).isEqualTo(1_250);
        assertThat(second.path("computedTokens").asInt()).isEqualTo(1_250 - 4 * PrefixBlocks.BLOCK_TOKENS);
        assertThat(fixture.client()
                        .get(engine.address(), "/v1/cache-events?after=0")
                        .text())
                .contains(PrefixBlocks.of(LONG_PROMPT));
    }

    @Test
    void losesEveryCacheEventWithGapOfOne() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder().cacheEvents(0, 1));
        fixture.prefill(engine, LONG_PROMPT);
        assertThat(fixture.client()
                        .get(engine.address(), "/v1/cache-events?after=0")
                        .text())
                .isEqualTo("{\"next\":0,\"events\":[]}");
    }

    @Test
    void evictsTheOldestBlocks() throws Exception {
        ModelEngine engine =
                fixture.start(EngineOptions.builder().prefixBlocks(2).cacheEvents(0, 0));
        fixture.prefill(engine, LONG_PROMPT);
        assertThat(fixture.client()
                        .get(engine.address(), "/v1/cache-events?after=0")
                        .text())
                .contains("\"evicted\"");
    }

    @Test
    void refusesAModelThatIsNotLoaded() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        String body = "{\"request\":\"r\",\"model\":\"other\",\"prompt\":\"p\"}";
        assertThat(fixture.client().post(engine.address(), "/v1/prefill", body).status())
                .isEqualTo(404);
    }

    @Test
    void refusesABodyThatIsNotJson() throws Exception {
        ModelEngine engine = fixture.start(EngineOptions.builder());
        assertThat(fixture.client().post(engine.address(), "/v1/prefill", "{").status())
                .isEqualTo(400);
    }

    private HttpResponse decodeWithCache(ModelEngine decode, ModelEngine prefill, HttpResponse result)
            throws Exception {
        ObjectNode cache = (ObjectNode) EngineFixture.JSON.readTree(result.text());
        cache.put("address", Addresses.text(prefill.address()));
        String body = EngineFixture.decodeBody(LONG_PROMPT, 10, List.of(), ",\"cache\":" + cache);
        return fixture.client().post(decode.address(), "/v1/decode", body);
    }
}
