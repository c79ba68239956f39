package org.merlinwood.following.impl;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a delta restores its target from its base, and that a different base or a malformed delta is rejected. */
class TextDeltaTest {

    @ParameterizedTest
    @CsvSource({
        "'', a",
        "a, ''",
        "'a\nb\n', 'a\nc\nb\n'",
        "'a\nb\nc', 'c\nb\na'",
        "'a\na\na\n', 'a\na\n'",
        "'ä\n', 'ä\nö'"
    })
    void applyRestoresTarget(String base, String target) {
        assertThat(TextDelta.apply(base, TextDelta.encode(base, target))).isEqualTo(Either.right(target));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void applyRestoresTargetAfterRandomEdits(int seed) {
        Random random = new Random(seed);
        List<String> lines = new ArrayList<>();
        for (int line = 0; line < 200; line++) {
            lines.add("row " + random.nextInt(150) + "\n");
        }
        String base = String.join("", lines);
        Collections.rotate(lines.subList(50, 90), 7);
        lines.remove(random.nextInt(lines.size()));
        lines.add(random.nextInt(lines.size()), "new\n");
        String target = String.join("", lines);

        assertThat(TextDelta.apply(base, TextDelta.encode(base, target))).isEqualTo(Either.right(target));
    }

    @Test
    void deltaSizeIsProportionalToChangedRows() {
        String base = TestDocuments.inventory(250, 5);
        String target = base.replace("\"name\": \"i100\"", "\"name\": \"changed\"");

        assertThat(TextDelta.encode(base, target).size()).isLessThan(400);
    }

    @Test
    void applyFailsOnDifferentBase() {
        ByteString delta = TextDelta.encode("a\nb\n", "a\nb\nc\n");

        assertThat(TextDelta.apply("a\nx\n", delta).isLeft()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "7",
                "{\"parts\": [[0, 9]]}",
                "{\"parts\": [[-1, 1]]}",
                "{\"parts\": [[0, -1]]}",
                "{\"parts\": [[2147483647, 2147483647]]}",
                "{\"parts\": [{}], \"digest\": \"\"}"
            })
    void applyFailsOnMalformedDelta(String text) {
        assertThat(TextDelta.apply("a\n", ByteString.copyFromUtf8(text)).isLeft())
                .isTrue();
    }
}
