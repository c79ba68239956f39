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
 * Reads the answer of one decode as it arrives, and holds it to its protocol: offsets without holes, one end line, and
 * nothing behind it. Not thread-safe; used by the I/O thread of one call.
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
     * @param firstOffset offset of the first token that the engine is to produce
     */
    public DecodeResponseReader(long firstOffset) {
        this.nextOffset = firstOffset;
    }

    /**
     * Reads some bytes.
     *
     * @param bytes the next part of the body
     * @return the lines that became whole, or {@link ResultCode#UPSTREAM_MALFORMED}
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
            return Either.left(malformed("a line is over " + MAXIMUM_LINE_BYTES + " bytes"));
        }
        return Either.right(lines);
    }

    /**
     * Tells whether the end line was read.
     *
     * @return true if the answer is whole
     */
    public boolean isWhole() {
        return ended && line.size() == 0;
    }

    /**
     * Returns the offset behind the last token.
     *
     * @return tokens of the whole answer so far
     */
    public long nextOffset() {
        return nextOffset;
    }

    // ------------------------------------------------------------------ internals

    private Either<Failure, DecodeLine> parse(String text) {
        if (ended) {
            return Either.left(malformed("a line follows the end line"));
        }
        try {
            JsonNode node = MAPPER.readTree(text);
            return node.path("end").asBoolean() ? end(node) : tokens(node);
        } catch (JsonProcessingException exception) {
            return Either.left(malformed("a line is not JSON"));
        }
    }

    private Either<Failure, DecodeLine> end(JsonNode node) {
        long length = node.path("length").asLong(-1);
        if (length != nextOffset) {
            return Either.left(malformed("the answer ends at " + length + " after " + nextOffset + " tokens"));
        }
        ended = true;
        return Either.right(new DecodeLine.End(length, node.path("finishReason").asText("stop")));
    }

    private Either<Failure, DecodeLine> tokens(JsonNode node) {
        long offset = node.path("offset").asLong(-1);
        if (offset != nextOffset || !node.path("tokens").isArray()) {
            return Either.left(malformed("offset " + offset + " where " + nextOffset + " was due"));
        }
        List<String> tokens = new ArrayList<>();
        node.path("tokens").forEach(token -> tokens.add(token.asText()));
        nextOffset += tokens.size();
        return Either.right(new DecodeLine.Tokens(offset, tokens));
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.UPSTREAM_MALFORMED, "the engine's answer is malformed: " + detail);
    }
}
