package org.merlinwood.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Computes the response that every engine gives to a prompt. Each token depends on the prompt and its offset only, so
 * that a caller can check that a response is complete and belongs to its own prompt. Stateless and thread-safe.
 */
public final class ExpectedResponse {

    /** Finish reason of a response to a prompt with a stop marker. */
    public static final String STOP = "stop";

    /** Finish reason of a response that reached the maximum number of tokens. */
    public static final String LENGTH = "length";

    private static final int BYTES_PER_TOKEN = 4;
    private static final int DIGITS_PER_TOKEN = 7;
    private static final Pattern STOP_AFTER = Pattern.compile("\\[stop-after (\\d{1,6})]");

    private ExpectedResponse() {}

    /**
     * Returns the tokens of the complete response.
     *
     * @param prompt the prompt, as sent to the engine
     * @param maximumTokens maximum number of tokens in the request
     * @return the tokens, by offset
     */
    public static List<String> tokens(String prompt, int maximumTokens) {
        String digest = promptDigest(prompt);
        return IntStream.range(0, length(prompt, maximumTokens))
                .mapToObj(offset -> token(digest, offset))
                .toList();
    }

    /**
     * Returns the complete response as text.
     *
     * @param prompt the prompt, as sent to the engine
     * @param maximumTokens maximum number of tokens in the request
     * @return the concatenated tokens
     */
    public static String text(String prompt, int maximumTokens) {
        return String.join("", tokens(prompt, maximumTokens));
    }

    /**
     * Returns the length of the complete response.
     *
     * @param prompt the prompt; a marker {@code [stop-after N]} in it ends the response after N tokens
     * @param maximumTokens maximum number of tokens in the request
     * @return the number of tokens
     */
    public static int length(String prompt, int maximumTokens) {
        Matcher matcher = STOP_AFTER.matcher(prompt);
        return matcher.find() ? Math.min(Integer.parseInt(matcher.group(1)), maximumTokens) : maximumTokens;
    }

    /**
     * Returns the finish reason of the complete response.
     *
     * @param prompt the prompt
     * @param maximumTokens maximum number of tokens in the request
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
     * Returns the digest that identifies a prompt in the ledger.
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
     * @param offset offset of the token in the complete response
     * @return the token, with a leading space
     */
    public static String token(String promptDigest, int offset) {
        return " " + DigestUtils.sha256Hex(promptDigest + "/" + offset).substring(0, DIGITS_PER_TOKEN);
    }
}
