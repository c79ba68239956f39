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

/** Writes the JSON of answers, compatible with OpenAI's interface where that names them. Stateless. */
final class ResponseJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String END_OF_EVENT = "\n\n";

    private ResponseJson() {}

    // ------------------------------------------------------------------ public API

    static byte[] whole(ModelRequest call, ModelResponse answer, long wallMillis) {
        ObjectNode root = head(call, wallMillis, false);
        ObjectNode choice = choice(root);
        String text = String.join("", answer.tokens());
        switch (call.responseFormat()) {
            case COMPLETION -> choice.put("text", text);
            case CHAT_COMPLETION ->
                choice.putObject("message").put("role", "assistant").put("content", text);
        }
        choice.put("finish_reason", answer.finishReason());
        usage(root, call, answer);
        return bytes(root);
    }

    static byte[] part(ModelRequest call, List<String> tokens, long wallMillis) {
        ObjectNode root = head(call, wallMillis, true);
        ObjectNode choice = choice(root);
        String text = String.join("", tokens);
        switch (call.responseFormat()) {
            case COMPLETION -> choice.put("text", text);
            case CHAT_COMPLETION -> choice.putObject("delta").put("content", text);
        }
        choice.putNull("finish_reason");
        return event(root);
    }

    /** The last part, which carries the result code, and the mark that the stream is whole. */
    static byte[] lastPart(ModelRequest call, ModelResponse answer, long wallMillis) {
        ObjectNode root = head(call, wallMillis, true);
        ObjectNode choice = choice(root);
        switch (call.responseFormat()) {
            case COMPLETION -> choice.put("text", "");
            case CHAT_COMPLETION -> choice.putObject("delta");
        }
        choice.put("finish_reason", answer.finishReason());
        usage(root, call, answer);
        root.putObject("merlinwood")
                .put("code", ResultCode.OK.number())
                .put("request", call.identified().accepted().identifier().toString());
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

    private static ObjectNode head(ModelRequest call, long wallMillis, boolean isPart) {
        String request = call.identified().accepted().identifier().toString();
        return MAPPER.createObjectNode()
                .put("id", prefix(call.responseFormat()) + request)
                .put("object", object(call.responseFormat(), isPart))
                .put("created", TimeUnit.MILLISECONDS.toSeconds(wallMillis))
                .put("model", call.model().value());
    }

    private static String prefix(ResponseFormat shape) {
        return switch (shape) {
            case COMPLETION -> "cmpl-";
            case CHAT_COMPLETION -> "chatcmpl-";
        };
    }

    private static String object(ResponseFormat shape, boolean isPart) {
        return switch (shape) {
            case COMPLETION -> "text_completion";
            case CHAT_COMPLETION -> isPart ? "chat.completion.chunk" : "chat.completion";
        };
    }

    private static ObjectNode choice(ObjectNode root) {
        return root.putArray("choices").addObject().put("index", 0);
    }

    private static void usage(ObjectNode root, ModelRequest call, ModelResponse answer) {
        int answerTokens = answer.tokens().size();
        root.putObject("usage")
                .put("prompt_tokens", call.promptTokens())
                .put("completion_tokens", answerTokens)
                .put("total_tokens", call.promptTokens() + answerTokens);
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
            throw new UncheckedIOException("a tree can always be written", exception);
        }
    }
}
