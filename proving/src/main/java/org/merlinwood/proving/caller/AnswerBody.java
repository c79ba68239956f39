package org.merlinwood.proving.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * What the body of an answer says. Immutable.
 *
 * @param text text of a completion, or the whole body where it is none
 * @param finishReason why a completion ended, empty where it didn't
 * @param code number of the result code of an error
 * @param execution what an error says about execution
 */
record AnswerBody(String text, String finishReason, Optional<Integer> code, Optional<String> execution) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads a body in one piece. */
    static AnswerBody of(String body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return new AnswerBody(body, "", Optional.empty(), Optional.empty());
        }
        if (json == null || (!json.has("choices") && !json.has("error"))) {
            return new AnswerBody(body, "", Optional.empty(), Optional.empty());
        }
        return of(json);
    }

    /** Reads a body or an event. */
    static AnswerBody of(JsonNode json) {
        JsonNode error = json.path("error");
        JsonNode choice = json.path("choices").path(0);
        return new AnswerBody(
                textOf(choice),
                choice.path("finish_reason").asText("").replace("null", ""),
                error.has("code") ? Optional.of(error.path("code").asInt()) : Optional.empty(),
                error.has("execution") ? Optional.of(error.path("execution").asText()) : Optional.empty());
    }

    private static String textOf(JsonNode choice) {
        if (choice.has("text")) {
            return choice.path("text").asText();
        }
        JsonNode message = choice.has("delta") ? choice.path("delta") : choice.path("message");
        return message.path("content").asText("");
    }
}
