package org.merlinwood.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ResultCodeTableTest {

    private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void isListedInTheDocumentation(ResultCode code) throws IOException {
        String row = "| %d | `%s` | %d | `%s` | %s |"
                .formatted(code.number(), code.name(), code.httpStatus(), code.executionState(), code.description());
        assertThat(Files.readAllLines(TABLE)).contains(row);
    }

    @Test
    void documentationHasNoOtherRows() throws IOException {
        List<String> rows = Files.readAllLines(TABLE).stream()
                .filter(line -> line.matches("\\| \\d+ .*"))
                .toList();
        assertThat(rows).hasSize(ResultCode.values().length);
    }

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }
}
