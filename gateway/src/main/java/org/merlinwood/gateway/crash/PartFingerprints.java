package org.merlinwood.gateway.crash;

import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.merlinwood.gateway.request.Prompt;
import org.merlinwood.gateway.request.PromptPart;

/** Computes fingerprints of the parts of a prompt that other requests can share. Stateless. */
public final class PartFingerprints {

    private static final long OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private PartFingerprints() {}

    /**
     * Returns the fingerprints of all parts but the last one, which belongs to the request alone.
     *
     * @param prompt the prompt
     * @return one hash of model and identifier for each distinct part, in the order of the prompt
     */
    public static List<Long> of(Prompt prompt) {
        return sharedParts(prompt)
                .map(part -> fingerprint(prompt, part))
                .distinct()
                .toList();
    }

    /**
     * Describes the parts of {@link #of} for log lines.
     *
     * @param prompt the prompt
     * @return identifier and fingerprint of each part, separated by commas
     */
    public static String describe(Prompt prompt) {
        return sharedParts(prompt)
                .map(part -> part.identifier() + "=" + format(fingerprint(prompt, part)))
                .collect(Collectors.joining(","));
    }

    /**
     * Formats a fingerprint for log lines.
     *
     * @param fingerprint the fingerprint
     * @return 16 hexadecimal digits
     */
    public static String format(long fingerprint) {
        return HexFormat.of().toHexDigits(fingerprint);
    }

    private static Stream<PromptPart> sharedParts(Prompt prompt) {
        return prompt.parts().stream().limit(Math.max(0, prompt.parts().size() - 1));
    }

    private static long fingerprint(Prompt prompt, PromptPart part) {
        return hash(prompt.model() + "\n" + part.identifier());
    }

    /** Computes the 64-bit FNV-1a hash of a text. */
    private static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return hash;
    }
}
