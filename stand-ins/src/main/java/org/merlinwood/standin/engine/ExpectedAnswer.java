package org.merlinwood.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The answer that every engine gives to a prompt: it follows from the prompt and the offset alone, so that a caller can
 * tell a whole answer to its own prompt from any other. Stateless and thread-safe.
 */
public final class ExpectedAnswer {

    /** Finish reason of an answer that ended by itself. */
    public static final String STOP = "stop";

    /** Finish reason of an answer that reached its maximum. */
    public static final String LENGTH = "length";

    private static final int BYTES_PER_TOKEN = 4;
    private static final int DIGITS_PER_TOKEN = 7;
    private static final Pattern STOP_AFTER = Pattern.compile("\\[stop-after (\\d{1,6})]");

    private ExpectedAnswer() {}

    /**
     * Returns the whole answer.
     *
     * @param prompt the prompt, as the engine gets it
     * @param maximumTokens the maximum that the request names
     * @return its tokens in order
     */
    public static List<String> tokens(String prompt, int maximumTokens) {
        String digest = promptDigest(prompt);
        return IntStream.range(0, length(prompt, maximumTokens))
                .mapToObj(offset -> token(digest, offset))
                .toList();
    }

    /**
     * Returns the whole answer as text.
     *
     * @param prompt the prompt, as the engine gets it
     * @param maximumTokens the maximum that the request names
     * @return its tokens, joined
     */
    public static String text(String prompt, int maximumTokens) {
        return String.join("", tokens(prompt, maximumTokens));
    }

    /**
     * Returns the length of the whole answer.
     *
     * @param prompt the prompt; a marker {@code [stop-after N]} in it ends the answer after N tokens
     * @param maximumTokens the maximum that the request names
     * @return the number of tokens
     */
    public static int length(String prompt, int maximumTokens) {
        Matcher matcher = STOP_AFTER.matcher(prompt);
        return matcher.find() ? Math.min(Integer.parseInt(matcher.group(1)), maximumTokens) : maximumTokens;
    }

    /**
     * Returns why the whole answer ends.
     *
     * @param prompt the prompt
     * @param maximumTokens the maximum that the request names
     * @return {@link #STOP} or {@link #LENGTH}
     */
    public static String finishReason(String prompt, int maximumTokens) {
        return STOP_AFTER.matcher(prompt).find() ? STOP : LENGTH;
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param prompt the prompt
     * @return bytes in UTF-8 divided by four, rounded up
     */
    public static int promptTokens(String prompt) {
        return Math.ceilDiv(prompt.getBytes(StandardCharsets.UTF_8).length, BYTES_PER_TOKEN);
    }

    /**
     * Returns what the ledger names a prompt by.
     *
     * @param prompt the prompt
     * @return SHA-256 as 64 hexadecimal digits
     */
    public static String promptDigest(String prompt) {
        return DigestUtils.sha256Hex(prompt);
    }

    /**
     * Returns one token.
     *
     * @param promptDigest result of {@link #promptDigest(String)}
     * @param offset its offset within the whole answer
     * @return the token, beginning with a space
     */
    public static String token(String promptDigest, int offset) {
        return " " + DigestUtils.sha256Hex(promptDigest + "/" + offset).substring(0, DIGITS_PER_TOKEN);
    }
}
