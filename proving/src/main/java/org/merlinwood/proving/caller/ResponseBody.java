package org.merlinwood.proving.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * The parsed body of a response, or one parsed event of a stream. Immutable.
 *
 * @param text text of a completion, or the unparsed body if it is neither a completion nor an error
 * @param finishReason reason for the end of a completion, empty if none is stated
 * @param code number of the result code of an error
 * @param execution execution state stated by an error
 */
record ResponseBody(String text, String finishReason, Optional<Integer> code, Optional<String> execution) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses the body of a response that is not streamed. */
    static ResponseBody of(String body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return new ResponseBody(body, "", Optional.empty(), Optional.empty());
        }
        if (json == null || (!json.has("choices") && !json.has("error"))) {
            return new ResponseBody(body, "", Optional.empty(), Optional.empty());
        }
        return of(json);
    }

    /** Reads the JSON of a body or of an event. */
    static ResponseBody of(JsonNode json) {
        JsonNode error = json.path("error");
        JsonNode choice = json.path("choices").path(0);
        return new ResponseBody(
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
