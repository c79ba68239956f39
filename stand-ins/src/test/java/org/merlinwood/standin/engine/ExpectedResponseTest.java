package org.merlinwood.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ExpectedResponseTest {

    @ParameterizedTest
    @CsvSource({"a prompt,5,5,length", "a prompt [stop-after 3],5,3,stop", "a prompt [stop-after 9],5,5,stop"})
    void endsAtStopMarkerOrMaximum(String prompt, int maximumTokens, int length, String finishReason) {
        assertThat(ExpectedResponse.tokens(prompt, maximumTokens)).hasSize(length);
        assertThat(ExpectedResponse.finishReason(prompt, maximumTokens)).isEqualTo(finishReason);
    }

    @Test
    void differsByPromptAndOffset() {
        assertThat(ExpectedResponse.tokens("one", 50)).doesNotHaveDuplicates();
        assertThat(ExpectedResponse.tokens("one", 50)).doesNotContainAnyElementsOf(ExpectedResponse.tokens("two", 50));
    }

    @ParameterizedTest
    @CsvSource({"'',0", "abcd,1", "abcde,2", "äöü,2"})
    void countsOnePromptTokenForFourBytes(String prompt, int tokens) {
        assertThat(ExpectedResponse.promptTokens(prompt)).isEqualTo(tokens);
    }

    @Test
    void sharesBlocksOfSharedPrefixesOnly() {
        String prefix = "x".repeat(2_048);
        assertThat(PrefixBlocks.of(prefix + "y".repeat(1_024)))
                .hasSize(3)
                .startsWith(PrefixBlocks.of(prefix).toArray(String[]::new));
        assertThat(PrefixBlocks.of("z" + prefix)).doesNotContainAnyElementsOf(PrefixBlocks.of(prefix));
    }
}
