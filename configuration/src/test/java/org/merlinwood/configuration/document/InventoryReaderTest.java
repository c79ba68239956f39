package org.merlinwood.configuration.document;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.merlinwood.configuration.inventory.Inventory;
import org.merlinwood.core.identity.InstanceName;

/** Validation of inventories: which documents are rejected, and the path and position of each error. */
class InventoryReaderTest {

    private static final String DOCUMENT = """
            {
              "models": [
                {"name": "m", "version": "1", "weights": "w", "maximumTokens": 8000, "cacheBytesPerToken": 100}
              ],
              "instances": [
                {"name": "e1", "address": "10.0.0.1:1", "failureDomain": "a", "role": "entry"},
                {"name": "p1", "address": "10.0.0.2:1", "failureDomain": "a", "service": "s", "role": "prefill", "models": ["m"], "pieces": 8},
                {"name": "d1", "address": "10.0.0.3:1", "failureDomain": "b", "service": "s", "role": "decode", "models": ["m"], "pieces": 9},
                {"name": "l1", "address": "10.0.0.4:1", "failureDomain": "b", "service": "t", "role": "plain", "concurrency": 4}
              ]
            }
            """;

    @Test
    void commentsAndTrailingCommasAreAccepted() {
        String text = DOCUMENT.replace("\"concurrency\": 4}", "\"concurrency\": 4,}, // the last row\n/* end */");

        assertThat(read(text).isRight()).isTrue();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            "pieces": 9   | "pieces": ^0           | instances[2].pieces  | has no engine memory
            "pieces": 9   | "pieces": ^-1          | instances[2].pieces  | the number is -1
            "pieces": 9   | "pieces": ^2.5         | instances[2].pieces  | the number is 2.5
            "pieces": 9   | "pieces": ^"9"         | instances[2].pieces  | it is a text
            "pieces": 9   | "pieces": ^1e999999999 | instances[2].pieces  | the number is
            "pieces": 9   | "pieces": ^null        | instances[2].pieces  | it is null
            "pieces": 9   | ^"peices": 9           | instances[2].peices  | no such column
            ["m"], "pieces": 9 | ^["x"], "pieces": 9 | instances[2].models  | no row of "models" defines 'x'
            ["m"], "pieces": 9 | ^[], "pieces": 9  | instances[2].models  | carries no model
            ["m"], "pieces": 9 | ["m", ^"m"], "pieces": 9  | instances[2].models  | stands there twice
            "s", "role": "prefill" | ^"s", "role": "decode" | instances[1].service | has no prefill instance
            "role": "decode"  | "role": ^"DECODE"  | instances[2].role    | 'DECODE' is unknown
            "t", "role": "plain" | "s", "role": ^"plain" | instances[3].role | the service 's' has the role 'prefill'
            "service": "t"    | "service": ^"entry" | instances[3].service | is that of entries
            "concurrency": 4  | "concurrency": ^0  | instances[3].concurrency | takes no call
            "concurrency": 4  | "concurrency": 4, "pieces": ^3 | instances[3].pieces | has no engine memory
            "concurrency": 4  | "concurrency": 4, "models": ^["m"] | instances[3].models | carries no models
            "concurrency": 4  | "concurrency": 4, "orderFencing": ^"ignored" | instances[3].orderFencing | no orders
            "pieces": 8       | "pieces": 8, "concurrency": ^0 | instances[1].concurrency | computes no prompt
            "pieces": 9       | "pieces": 9, "concurrency": ^2 | instances[2].concurrency | does not apply
            "name": "l1"      | "name": ^"d1"      | instances[3].name    | stands in an earlier row
            "10.0.0.4:1"      | ^"10.0.0.3:1"      | instances[3].address | stands in an earlier row
            "10.0.0.4:1"      | ^"ledger:1"        | instances[3].address | not a numeric IP
            "10.0.0.4:1"      | ^"10.0.0.444:1"    | instances[3].address | not a numeric IP
            {"name": "p1"     | {"region": ^"r", "name": "p1" | instances[1].region | is in the region 'default'
            "instances": [    | ^"instanzes": [    | instanzes            | no such column
            "version": "1"    | "version": ^""     | models[0].version    | the text is empty
            {"name": "l1"     | ^7, {"name": "l1"  | instances[3]         | a row is a number
            """)
    void invalidValueIsReportedWithItsPosition(String original, String marked, String path, String problem) {
        String markedText = DOCUMENT.replace(original, marked);
        String before = markedText.substring(0, markedText.indexOf('^'));
        int line = (int) before.chars().filter(character -> character == '\n').count() + 1;
        int column = before.length() - before.lastIndexOf('\n');
        String text = markedText.replace("^", "");

        DocumentErrors errors = read(text).getLeft();

        assertThat(errors.errors()).anySatisfy(error -> {
            assertThat(error.path()).isEqualTo(path);
            assertThat(error.problem()).contains(problem);
            assertThat(error.remedy()).isNotBlank();
            assertThat(error.line()).isEqualTo(line);
            assertThat(error.column()).isEqualTo(column);
        });
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            "pieces": 8                    | 1
            "pieces": 8, "concurrency": 3  | 3
            """)
    void prefillConcurrencyIsOptional(String columns, int concurrency) {
        Inventory inventory = read(DOCUMENT.replace("\"pieces\": 8", columns)).get();
        Inventory writtenAndRead = read(InventoryWriter.write(inventory)).get();

        assertThat(inventory.instance(new InstanceName("p1")).orElseThrow().concurrency())
                .isEqualTo(concurrency);
        assertThat(writtenAndRead).isEqualTo(inventory);
    }

    @Test
    void allErrorsAreReportedInDocumentOrder() {
        String text = DOCUMENT.replace("\"pieces\": 8", "\"pieces\": -8")
                .replace("10.0.0.1:1", "10.0.0.1")
                .replace("\"role\": \"plain\"", "\"role\": \"plane\"");

        assertThat(read(text).getLeft().errors())
                .extracting(DocumentError::path)
                .containsExactly("instances[0].address", "instances[1].pieces", "instances[3].role");
    }

    @Test
    void syntaxErrorIsReportedWithItsLine() {
        DocumentError error = read(DOCUMENT.replace("\"version\": \"1\",", "\"version\" \"1\","))
                .getLeft()
                .errors()
                .get(0);

        assertThat(error.line()).isEqualTo(3);
        assertThat(error.problem()).contains("can't be read");
    }

    @Test
    void duplicateColumnIsRejected() {
        String text = DOCUMENT.replace("\"pieces\": 9", "\"pieces\": 9, \"pieces\": 10");

        assertThat(read(text).getLeft().toString()).contains("Duplicate").contains("inventory.json:8:");
    }

    @Test
    void emptyTableIsRejected() {
        assertThat(read("{\"instances\": []}").getLeft().toString())
                .isEqualTo("inventory.json:1:15: instances: the table has no row; list at least one row in"
                        + " \"instances\"");
    }

    @Test
    void retiredInstanceMayShareAnAddress() {
        String text = DOCUMENT.replace("\"concurrency\": 4}", "\"concurrency\": 4, \"state\": \"retired\"}")
                .replace("10.0.0.4:1", "10.0.0.3:1");

        assertThat(read(text).isRight()).isTrue();
    }

    private static Either<DocumentErrors, Inventory> read(String text) {
        return InventoryReader.read("inventory.json", 3, text);
    }
}
