package org.merlinwood.entry.filter;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import org.merlinwood.core.identity.ModelName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.request.Delivery;
import org.merlinwood.entry.request.ResponseFormat;
import org.merlinwood.entry.request.SamplingParameters;

/** Reads the JSON bodies of completion, chat completion and key requests. Stateless and thread-safe. */
final class PromptReader {

    static final int DEFAULT_MAXIMUM_TOKENS = 256;

    private static final double DEFAULT_TEMPERATURE = 0;
    private static final double MAXIMUM_TEMPERATURE = 2;
    private static final int MAXIMUM_NESTING = 32;
    private static final ObjectMapper MAPPER = mapper();

    private PromptReader() {}

    // ------------------------------------------------------------------ public API

    static Either<Failure, PromptRequest> read(byte[] body, ResponseFormat responseFormat) {
        try {
            return Either.right(request(object(MAPPER.readTree(body)), responseFormat));
        } catch (IOException exception) {
            return Either.left(malformed("the body is not well-formed JSON"));
        } catch (MalformedBodyException exception) {
            return Either.left(malformed(exception.getMessage()));
        }
    }

    static Either<Failure, String> readService(byte[] body) {
        try {
            return Either.right(text(object(MAPPER.readTree(body)), "service"));
        } catch (IOException exception) {
            return Either.left(malformed("the body is not well-formed JSON"));
        } catch (MalformedBodyException exception) {
            return Either.left(malformed(exception.getMessage()));
        }
    }

    // ------------------------------------------------------------------ internals

    private static ObjectMapper mapper() {
        ObjectMapper mapper = JsonMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                .build();
        mapper.getFactory()
                .setStreamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAXIMUM_NESTING)
                        .maxStringLength(Integer.MAX_VALUE)
                        .build());
        return mapper;
    }

    private static PromptRequest request(JsonNode body, ResponseFormat responseFormat) throws MalformedBodyException {
        String prompt = switch (responseFormat) {
            case COMPLETION -> prompt(body);
            case CHAT_COMPLETION -> chatPrompt(body);
        };
        Delivery delivery = flag(body, "stream") ? Delivery.STREAMED : Delivery.WHOLE;
        return new PromptRequest(new ModelName(text(body, "model")), prompt, sampling(body), delivery);
    }

    private static String prompt(JsonNode body) throws MalformedBodyException {
        JsonNode prompt = body.path("prompt");
        if (prompt.isArray() && prompt.size() == 1) {
            prompt = prompt.get(0);
        }
        if (!prompt.isTextual() || prompt.textValue().isEmpty()) {
            throw new MalformedBodyException("'prompt' is not a non-empty string");
        }
        return prompt.textValue();
    }

    /**
     * Renders each message as a line with its role, and ends with the role of the assistant, which generates the
     * response.
     */
    private static String chatPrompt(JsonNode body) throws MalformedBodyException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new MalformedBodyException("'messages' is not a non-empty array");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(text(object(message), "role"))
                    .append(": ")
                    .append(content(message.path("content")))
                    .append('\n');
        }
        return prompt.append("assistant: ").toString();
    }

    private static String content(JsonNode content) throws MalformedBodyException {
        if (content.isTextual()) {
            return content.textValue();
        }
        if (!content.isArray()) {
            throw new MalformedBodyException("'content' of a message is neither a string nor an array of text parts");
        }
        StringBuilder joined = new StringBuilder();
        for (JsonNode part : content) {
            joined.append(text(object(part), "text"));
        }
        return joined.toString();
    }

    private static SamplingParameters sampling(JsonNode body) throws MalformedBodyException {
        JsonNode maximumCompletionTokens = body.path("max_completion_tokens");
        JsonNode maximumTokens =
                maximumCompletionTokens.isMissingNode() ? body.path("max_tokens") : maximumCompletionTokens;
        JsonNode temperature = body.path("temperature");
        JsonNode seed = body.path("seed");
        return new SamplingParameters(
                isAbsent(maximumTokens) ? DEFAULT_MAXIMUM_TOKENS : positiveInteger(maximumTokens),
                isAbsent(temperature) ? DEFAULT_TEMPERATURE : temperature(temperature),
                isAbsent(seed) ? 0 : seed(seed));
    }

    private static int positiveInteger(JsonNode number) throws MalformedBodyException {
        if (!number.canConvertToExactIntegral() || !number.canConvertToInt() || number.intValue() < 1) {
            throw new MalformedBodyException("'max_tokens' is not a positive integer");
        }
        return number.intValue();
    }

    private static double temperature(JsonNode number) throws MalformedBodyException {
        double value = number.isNumber() ? number.doubleValue() : -1;
        if (!(value >= 0 && value <= MAXIMUM_TEMPERATURE)) {
            throw new MalformedBodyException("'temperature' is not a number from 0 to 2");
        }
        return value;
    }

    private static long seed(JsonNode number) throws MalformedBodyException {
        if (!number.canConvertToExactIntegral() || !number.canConvertToLong()) {
            throw new MalformedBodyException("'seed' is not an integer");
        }
        return number.longValue();
    }

    private static boolean flag(JsonNode body, String name) throws MalformedBodyException {
        JsonNode value = body.path(name);
        if (!isAbsent(value) && !value.isBoolean()) {
            throw new MalformedBodyException("'" + name + "' is not a boolean");
        }
        return value.booleanValue();
    }

    private static String text(JsonNode body, String name) throws MalformedBodyException {
        JsonNode value = body.path(name);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new MalformedBodyException("'" + name + "' is not a non-blank string");
        }
        return value.textValue();
    }

    private static JsonNode object(JsonNode node) throws MalformedBodyException {
        if (!node.isObject()) {
            throw new MalformedBodyException("a JSON object was expected");
        }
        return node;
    }

    private static boolean isAbsent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.MALFORMED_REQUEST, detail);
    }

    private static final class MalformedBodyException extends Exception {

        private static final long serialVersionUID = 1;

        private MalformedBodyException(String message) {
            super(message);
        }
    }
}
