package org.merlinwood.sidecar.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Parses a decode response incrementally and validates it: offsets must be contiguous, and the only end line must be
 * the last line. Not thread-safe; used by the I/O thread of one request.
 */
public final class DecodeResponseReader {

    private static final int MAXIMUM_LINE_BYTES = 1 << 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long nextOffset;
    private boolean ended;

    /**
     * Creates a reader.
     *
     * @param firstOffset offset of the first token that the engine has to produce
     */
    public DecodeResponseReader(long firstOffset) {
        this.nextOffset = firstOffset;
    }

    /**
     * Reads the next bytes of the body.
     *
     * @param bytes the bytes
     * @return the lines that were completed, or a failure with {@link ResultCode#UPSTREAM_MALFORMED}
     */
    public Either<Failure, List<DecodeLine>> read(byte[] bytes) {
        List<DecodeLine> lines = new ArrayList<>();
        for (byte next : bytes) {
            if (next != '\n') {
                line.write(next);
                continue;
            }
            Either<Failure, DecodeLine> parsed = parse(line.toString(StandardCharsets.UTF_8));
            line.reset();
            if (parsed.isLeft()) {
                return Either.left(parsed.getLeft());
            }
            lines.add(parsed.get());
        }
        if (line.size() > MAXIMUM_LINE_BYTES) {
            return Either.left(malformed("a line exceeds " + MAXIMUM_LINE_BYTES + " bytes"));
        }
        return Either.right(lines);
    }

    /**
     * Tells whether the response is complete.
     *
     * @return true if the end line was read and no partial line follows
     */
    public boolean isWhole() {
        return ended && line.size() == 0;
    }

    /**
     * Returns the offset of the next token.
     *
     * @return the offset, counted from the start of the complete response
     */
    public long nextOffset() {
        return nextOffset;
    }

    private Either<Failure, DecodeLine> parse(String text) {
        if (ended) {
            return Either.left(malformed("another line follows the end line"));
        }
        try {
            JsonNode node = MAPPER.readTree(text);
            return node.path("end").asBoolean() ? end(node) : tokens(node);
        } catch (JsonProcessingException exception) {
            return Either.left(malformed("a line is not valid JSON"));
        }
    }

    private Either<Failure, DecodeLine> end(JsonNode node) {
        long length = node.path("length").asLong(-1);
        if (length != nextOffset) {
            return Either.left(malformed("the end line has length " + length + " after " + nextOffset + " tokens"));
        }
        ended = true;
        return Either.right(new DecodeLine.End(length, node.path("finishReason").asText("stop")));
    }

    private Either<Failure, DecodeLine> tokens(JsonNode node) {
        long offset = node.path("offset").asLong(-1);
        if (offset != nextOffset || !node.path("tokens").isArray()) {
            return Either.left(
                    malformed("offset " + offset + " or its tokens are invalid; expected offset " + nextOffset));
        }
        List<String> tokens = new ArrayList<>();
        node.path("tokens").forEach(token -> tokens.add(token.asText()));
        nextOffset += tokens.size();
        return Either.right(new DecodeLine.Tokens(offset, tokens));
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.UPSTREAM_MALFORMED, "malformed response of the engine: " + detail);
    }
}
