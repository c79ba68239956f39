package org.merlinwood.sidecar.upstream;

import java.util.List;

/** One line of a decode engine's answer. */
public sealed interface DecodeLine {

    /**
     * Some tokens.
     *
     * @param offset offset of the first, counted from the start of the whole answer
     * @param tokens the tokens
     */
    record Tokens(long offset, List<String> tokens) implements DecodeLine {

        /** Copies the list. */
        public Tokens {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The answer is whole.
     *
     * @param length tokens of the whole answer
     * @param finishReason why it ended
     */
    record End(long length, String finishReason) implements DecodeLine {}
}
