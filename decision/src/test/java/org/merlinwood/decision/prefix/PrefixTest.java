package org.merlinwood.decision.prefix;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Hashes of prefixes and the index over them. */
final class PrefixTest {

    private static final long LIFE_MILLIS = 1_000;
    private static final long NOW_MILLIS = 50_000;

    @ParameterizedTest
    @CsvSource({"0,0", "1023,0", "1024,1", "4096,4", "4097,4"})
    void hashesWholeBlocks(int bytes, int blocks) {
        assertThat(PrefixBlocks.of("a".repeat(bytes)).size()).isEqualTo(blocks);
    }

    @Test
    void chainsTheHashes() {
        String head = "a".repeat(PrefixBlocks.BLOCK_BYTES);
        String tail = "b".repeat(PrefixBlocks.BLOCK_BYTES);
        PrefixBlocks one = PrefixBlocks.of(head + tail);
        PrefixBlocks other = PrefixBlocks.of(tail + tail);
        assertThat(one.hash(0)).isEqualTo(PrefixBlocks.of(head).hash(0));
        assertThat(one.hash(1)).isNotEqualTo(other.hash(1));
        assertThat(PrefixBlocks.ofHashes(one.hashes())).isEqualTo(one).hasSameHashCodeAs(one);
    }

    @Test
    void findsTheLongestPrefixOfEachHolder() {
        PrefixIndex index = new PrefixIndex(1024, LIFE_MILLIS);
        String shared = "s".repeat(3 * PrefixBlocks.BLOCK_BYTES);
        index.recordStored(0, PrefixBlocks.of(shared + "x".repeat(2 * PrefixBlocks.BLOCK_BYTES)), NOW_MILLIS);
        index.recordStored(1, PrefixBlocks.of(shared + "y".repeat(2 * PrefixBlocks.BLOCK_BYTES)), NOW_MILLIS);
        int[] matched = match(index, shared + "x".repeat(2 * PrefixBlocks.BLOCK_BYTES), NOW_MILLIS);
        assertThat(matched[0]).isEqualTo(5);
        assertThat(matched[1]).isEqualTo(3);
        assertThat(matched[2]).isZero();
    }

    @Test
    void doesNotBelieveOldRows() {
        PrefixIndex index = new PrefixIndex(1024, LIFE_MILLIS);
        String prompt = "s".repeat(PrefixBlocks.BLOCK_BYTES);
        index.recordStored(0, PrefixBlocks.of(prompt), NOW_MILLIS);
        assertThat(match(index, prompt, NOW_MILLIS + LIFE_MILLIS / 2)[0]).isEqualTo(1);
        assertThat(match(index, prompt, NOW_MILLIS + 2 * LIFE_MILLIS)[0]).isZero();
    }

    @Test
    void forgetsAHolder() {
        PrefixIndex index = new PrefixIndex(1024, LIFE_MILLIS);
        String prompt = "s".repeat(PrefixBlocks.BLOCK_BYTES);
        index.recordStored(0, PrefixBlocks.of(prompt), NOW_MILLIS);
        index.recordStored(1, PrefixBlocks.of(prompt), NOW_MILLIS);
        index.remove(0);
        int[] matched = match(index, prompt, NOW_MILLIS);
        assertThat(matched[0]).isZero();
        assertThat(matched[1]).isEqualTo(1);
    }

    @Test
    void keepsTheNewestRowsWhenItIsFull() {
        PrefixIndex index = new PrefixIndex(4, LIFE_MILLIS);
        for (int number = 0; number < 100; number++) {
            index.recordStored(0, PrefixBlocks.of(prompt(number)), NOW_MILLIS + 20L * number);
        }
        long endMillis = NOW_MILLIS + 2_000;
        assertThat(match(index, prompt(99), endMillis)[0]).isEqualTo(1);
        assertThat(match(index, prompt(90), endMillis)[0]).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2, 1000})
    void refusesASizeThatIsNoPowerOfTwo(int rows) {
        assertThatThrownBy(() -> new PrefixIndex(rows, LIFE_MILLIS)).isInstanceOf(IllegalArgumentException.class);
    }

    private static String prompt(int number) {
        return Integer.toString(number).repeat(PrefixBlocks.BLOCK_BYTES).substring(0, PrefixBlocks.BLOCK_BYTES);
    }

    private static int[] match(PrefixIndex index, String prompt, long nowMillis) {
        int[] matched = new int[PrefixIndex.MAXIMUM_HOLDERS];
        index.match(PrefixBlocks.of(prompt), nowMillis, matched);
        return matched;
    }
}
