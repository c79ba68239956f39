package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** One HTTP/1.1 request or response, as far as the stand-ins need it. */
final class HttpMessage {

    private static final int BUFFER_BYTES = 64 << 10;

    final String firstLine;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the body has come to its end in order. */
    boolean complete;

    private HttpMessage(String firstLine) {
        this.firstLine = firstLine;
    }

    /** Reads a head; null if the connection ends before or in it. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        HttpMessage message = new HttpMessage(first);
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
            line = readLine(in);
        }
        return line == null ? null : message;
    }

    String header(String name) {
        return headers.stream()
                .filter(header -> header[0].equalsIgnoreCase(name))
                .map(header -> header[1])
                .findFirst()
                .orElse(null);
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads the body; each part of it is passed on as it comes. Sets {@link #complete} if its end has come. */
    void readBody(InputStream in, Consumer<byte[]> onPart) {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        Consumer<byte[]> both = part -> {
            read.writeBytes(part);
            onPart.accept(part);
        };
        try {
            if (header("Transfer-Encoding") != null) {
                complete = readChunks(in, both);
            } else if (header("Content-Length") != null) {
                complete = readBytes(in, Integer.parseInt(header("Content-Length")), both);
            } else {
                complete = true;
            }
        } catch (IOException broken) {
            complete = false;
        }
        body = read.toByteArray();
    }

    private static boolean readChunks(InputStream in, Consumer<byte[]> onPart) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return false;
            }
            int bytes = Integer.parseInt(size.strip(), 16);
            if (bytes > 0 && !readBytes(in, bytes, onPart)) {
                return false;
            }
            if (readLine(in) == null) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }

    private static boolean readBytes(InputStream in, int count, Consumer<byte[]> onPart) throws IOException {
        int left = count;
        byte[] buffer = new byte[BUFFER_BYTES];
        while (left > 0) {
            int bytes = in.read(buffer, 0, Math.min(left, buffer.length));
            if (bytes < 0) {
                return false;
            }
            onPart.accept(Arrays.copyOf(buffer, bytes));
            left -= bytes;
        }
        return true;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int character = in.read();
        while (character >= 0 && character != '\n') {
            line.write(character);
            character = in.read();
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        if (character < 0) {
            return null;
        }
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
