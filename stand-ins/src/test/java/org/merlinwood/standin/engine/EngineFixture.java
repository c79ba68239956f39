package org.merlinwood.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.merlinwood.http.HttpResponse;
import org.merlinwood.standin.HttpTestClient;
import org.merlinwood.standin.network.Addresses;

/** Starts the engines of one test and sends requests to them. */
final class EngineFixture implements AutoCloseable {

    static final String MODEL = "summary";
    static final String REQUEST = "0123456789abcdef0123456789abcdef";
    static final ObjectMapper JSON = new ObjectMapper();

    private final List<ModelEngine> engines = new ArrayList<>();
    private final HttpTestClient client = new HttpTestClient();

    ModelEngine start(EngineOptions.Builder options) {
        ModelEngine engine = new ModelEngine(
                Addresses.anyLoopback(),
                Addresses.anyLoopback(),
                options.models(List.of(MODEL)).build(),
                Optional.empty());
        engines.add(engine);
        return engine;
    }

    HttpTestClient client() {
        return client;
    }

    static String decodeBody(String prompt, int maximumTokens, List<String> tokensSoFar, String cache) {
        return """
            {"request":"%s","model":"%s","prompt":"%s","tokensSoFar":%s,"maximumTokens":%d,"priority":1%s}""".formatted(REQUEST, MODEL, prompt, JSON.valueToTree(tokensSoFar), maximumTokens, cache);
    }

    HttpResponse decode(ModelEngine engine, String prompt, int maximumTokens) throws Exception {
        return client.post(engine.address(), "/v1/decode", decodeBody(prompt, maximumTokens, List.of(), ""));
    }

    HttpResponse prefill(ModelEngine engine, String prompt) throws Exception {
        String body = """
            {"request":"%s","model":"%s","prompt":"%s","priority":1}""".formatted(REQUEST, MODEL, prompt);
        return client.post(engine.address(), "/v1/prefill", body);
    }

    static List<String> tokens(HttpResponse response) throws Exception {
        List<String> tokens = new ArrayList<>();
        for (String line : response.text().lines().toList()) {
            JSON.readTree(line).path("tokens").forEach(token -> tokens.add(token.asText()));
        }
        return tokens;
    }

    static JsonNode lastLine(HttpResponse response) throws Exception {
        return JSON.readTree(response.text().strip().lines().toList().getLast());
    }

    @Override
    public void close() {
        engines.forEach(ModelEngine::close);
        client.close();
    }
}
