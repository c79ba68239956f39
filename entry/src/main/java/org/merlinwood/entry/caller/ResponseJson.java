package org.merlinwood.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.RequestIdentifier;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;
import org.merlinwood.entry.dispatch.ModelResponse;
import org.merlinwood.entry.request.ClassifiedRequest.ModelRequest;
import org.merlinwood.entry.request.ResponseFormat;

/** Writes the JSON of responses. Completions and chat completions are compatible with the OpenAI API. Stateless. */
final class ResponseJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String END_OF_EVENT = "\n\n";

    private ResponseJson() {}

    // ------------------------------------------------------------------ public API

    static byte[] complete(ModelRequest request, ModelResponse response, long wallMillis) {
        ObjectNode root = head(request, wallMillis, false);
        ObjectNode choice = choice(root);
        String text = String.join("", response.tokens());
        switch (request.responseFormat()) {
            case COMPLETION -> choice.put("text", text);
            case CHAT_COMPLETION ->
                choice.putObject("message").put("role", "assistant").put("content", text);
        }
        choice.put("finish_reason", response.finishReason());
        usage(root, request, response);
        return bytes(root);
    }

    static byte[] part(ModelRequest request, List<String> tokens, long wallMillis) {
        ObjectNode root = head(request, wallMillis, true);
        ObjectNode choice = choice(root);
        String text = String.join("", tokens);
        switch (request.responseFormat()) {
            case COMPLETION -> choice.put("text", text);
            case CHAT_COMPLETION -> choice.putObject("delta").put("content", text);
        }
        choice.putNull("finish_reason");
        return event(root);
    }

    /** Writes the last part of a stream, which contains the result code, and the end marker of a complete stream. */
    static byte[] lastPart(ModelRequest request, ModelResponse response, long wallMillis) {
        ObjectNode root = head(request, wallMillis, true);
        ObjectNode choice = choice(root);
        switch (request.responseFormat()) {
            case COMPLETION -> choice.put("text", "");
            case CHAT_COMPLETION -> choice.putObject("delta");
        }
        choice.put("finish_reason", response.finishReason());
        usage(root, request, response);
        root.putObject("merlinwood")
                .put("code", ResultCode.OK.number())
                .put("request", request.identified().accepted().identifier().toString());
        return (DATA + text(root) + END_OF_EVENT + DATA + "[DONE]" + END_OF_EVENT).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] failureEvent(RequestIdentifier request, Failure failure) {
        return ("event: error\n" + DATA + text(error(request, failure)) + END_OF_EVENT)
                .getBytes(StandardCharsets.UTF_8);
    }

    static byte[] failure(RequestIdentifier request, Failure failure) {
        return bytes(error(request, failure));
    }

    static byte[] key(IdempotencyKey key) {
        return bytes(MAPPER.createObjectNode().put("key", key.value()));
    }

    // ------------------------------------------------------------------ internals

    private static ObjectNode error(RequestIdentifier request, Failure failure) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error")
                .put("code", failure.code().number())
                .put("name", failure.code().name())
                .put("message", failure.detail())
                .put("execution", failure.executionState().name());
        if (failure.retryAfterMillis() != Failure.NO_RETRY) {
            error.put("retryAfterMillis", failure.retryAfterMillis());
        }
        error.put("request", request.toString());
        return root;
    }

    private static ObjectNode head(ModelRequest request, long wallMillis, boolean isPart) {
        String identifier = request.identified().accepted().identifier().toString();
        return MAPPER.createObjectNode()
                .put("id", prefix(request.responseFormat()) + identifier)
                .put("object", object(request.responseFormat(), isPart))
                .put("created", TimeUnit.MILLISECONDS.toSeconds(wallMillis))
                .put("model", request.model().value());
    }

    private static String prefix(ResponseFormat format) {
        return switch (format) {
            case COMPLETION -> "cmpl-";
            case CHAT_COMPLETION -> "chatcmpl-";
        };
    }

    private static String object(ResponseFormat format, boolean isPart) {
        return switch (format) {
            case COMPLETION -> "text_completion";
            case CHAT_COMPLETION -> isPart ? "chat.completion.chunk" : "chat.completion";
        };
    }

    private static ObjectNode choice(ObjectNode root) {
        return root.putArray("choices").addObject().put("index", 0);
    }

    private static void usage(ObjectNode root, ModelRequest request, ModelResponse response) {
        int completionTokens = response.tokens().size();
        root.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("completion_tokens", completionTokens)
                .put("total_tokens", request.promptTokens() + completionTokens);
    }

    private static byte[] event(ObjectNode root) {
        return (DATA + text(root) + END_OF_EVENT).getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ObjectNode root) {
        return text(root).getBytes(StandardCharsets.UTF_8);
    }

    private static String text(ObjectNode root) {
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException("serializing a JSON tree failed unexpectedly", exception);
        }
    }
}
