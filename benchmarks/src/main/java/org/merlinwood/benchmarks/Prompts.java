package org.merlinwood.benchmarks;

import org.merlinwood.decision.prefix.PrefixBlocks;

/** Prompts of a given length. Stateless. */
final class Prompts {

    private static final String UNIT = "Hydrant %07d at the corner leaks; pressure is low. ";

    private Prompts() {}

    static String text(int number, int blocks) {
        int bytes = blocks * PrefixBlocks.BLOCK_BYTES;
        StringBuilder text = new StringBuilder(bytes + UNIT.length());
        while (text.length() < bytes) {
            text.append(UNIT.formatted(number));
        }
        return text.substring(0, bytes);
    }

    static PrefixBlocks blocks(int number, int blocks) {
        return PrefixBlocks.of(text(number, blocks));
    }
}
