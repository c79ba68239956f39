package org.merlinwood.benchmarks;

import org.merlinwood.decision.prefix.PrefixBlocks;

/** Creates prompts of a given length. Stateless and thread-safe. */
final class Prompts {

    private static final String SENTENCE = "Hydrant %07d at the corner leaks; pressure is low. ";

    private Prompts() {}

    static String text(int number, int blocks) {
        int bytes = blocks * PrefixBlocks.BLOCK_BYTES;
        StringBuilder text = new StringBuilder(bytes + SENTENCE.length());
        while (text.length() < bytes) {
            text.append(SENTENCE.formatted(number));
        }
        return text.substring(0, bytes);
    }

    static PrefixBlocks blocks(int number, int blocks) {
        return PrefixBlocks.of(text(number, blocks));
    }
}
