package review3;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Joins text and bytes. Stateless. */
final class Bytes {

    private Bytes() {}

    static byte[] join(String text, byte[] rest) {
        byte[] start = text.getBytes(StandardCharsets.ISO_8859_1);
        byte[] joined = Arrays.copyOf(start, start.length + rest.length);
        System.arraycopy(rest, 0, joined, start.length, rest.length);
        return joined;
    }
}
