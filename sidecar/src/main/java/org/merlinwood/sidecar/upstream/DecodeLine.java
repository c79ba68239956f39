package org.merlinwood.sidecar.upstream;

import java.util.List;

/** One line of a decode response. */
public sealed interface DecodeLine {

    /**
     * A line with tokens.
     *
     * @param offset offset of the first token in the complete response
     * @param tokens the tokens
     */
    record Tokens(long offset, List<String> tokens) implements DecodeLine {

        /** Copies the list. */
        public Tokens {
            tokens = List.copyOf(tokens);
        }
    }

    /**
     * The end line of a complete response.
     *
     * @param length length of the complete response, in tokens
     * @param finishReason reason why the generation ended
     */
    record End(long length, String finishReason) implements DecodeLine {}
}
