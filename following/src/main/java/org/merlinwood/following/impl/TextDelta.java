package org.merlinwood.following.impl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.DigestUtils;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Encodes the difference between two texts line by line. Documents have one row per line, so a delta holds the changed
 * rows. Stateless.
 *
 * <p>A delta is a JSON object: {@code digest} is the SHA-256 of the target; {@code parts} holds {@code [first, count]}
 * for lines that are copied from the base, and strings for new lines.
 */
final class TextDelta {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAXIMUM_TARGET_CHARACTERS = 8 << 20;
    private static final String DIGEST = "digest";
    private static final String PARTS = "parts";

    private TextDelta() {}

    /** Encodes the difference from the base to the target. */
    static ByteString encode(String base, String target) {
        ObjectNode delta = MAPPER.createObjectNode();
        delta.put(DIGEST, DigestUtils.sha256Hex(target));
        addParts(delta.putArray(PARTS), lines(base), lines(target));
        try {
            return ByteString.copyFrom(MAPPER.writeValueAsBytes(delta));
        } catch (IOException exception) {
            throw new UncheckedIOException("writing a JSON tree to memory failed", exception);
        }
    }

    /** Restores the target. Fails if the delta is malformed or was made for a different base. */
    static Either<Failure, String> apply(String base, ByteString encoded) {
        try {
            JsonNode delta = MAPPER.readTree(encoded.newInput());
            return assemble(lines(base), delta.path(PARTS))
                    .filterOrElse(
                            target -> DigestUtils.sha256Hex(target)
                                    .equals(delta.path(DIGEST).asText()),
                            ignored -> malformed("the digest of the result does not match"));
        } catch (IOException exception) {
            return Either.left(malformed("it is not valid JSON"));
        }
    }

    private static List<String> lines(String text) {
        return List.of(text.split("(?<=\n)"));
    }

    private static void addParts(ArrayNode parts, List<String> base, List<String> target) {
        Map<String, Integer> firstInBase = new HashMap<>();
        for (int index = 0; index < base.size(); index++) {
            firstInBase.putIfAbsent(base.get(index), index);
        }
        int next = 0;
        while (next < target.size()) {
            Integer first = firstInBase.get(target.get(next));
            if (first == null) {
                parts.add(target.get(next));
                next++;
            } else {
                int count = commonLength(base, first, target, next);
                parts.addArray().add(first).add(count);
                next += count;
            }
        }
    }

    private static int commonLength(List<String> base, int baseStart, List<String> target, int targetStart) {
        int count = 0;
        while (baseStart + count < base.size()
                && targetStart + count < target.size()
                && base.get(baseStart + count).equals(target.get(targetStart + count))) {
            count++;
        }
        return count;
    }

    private static Either<Failure, String> assemble(List<String> base, JsonNode parts) {
        StringBuilder target = new StringBuilder();
        for (JsonNode part : parts) {
            if (part.isTextual()) {
                target.append(part.asText());
            } else if (!appendLines(target, base, part)) {
                return Either.left(malformed("a part refers to lines outside the base"));
            }
            if (target.length() > MAXIMUM_TARGET_CHARACTERS) {
                return Either.left(malformed("the target exceeds the maximum size"));
            }
        }
        return Either.right(target.toString());
    }

    private static boolean appendLines(StringBuilder target, List<String> base, JsonNode part) {
        int first = part.path(0).asInt(-1);
        int count = part.path(1).asInt(-1);
        if (first < 0 || count < 0 || count > base.size() - first) {
            return false;
        }
        base.subList(first, first + count).forEach(target::append);
        return true;
    }

    private static Failure malformed(String detail) {
        return Failure.of(ResultCode.PROTOCOL_VIOLATION, "the delta can't be applied: " + detail);
    }
}
