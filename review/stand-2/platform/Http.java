import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from sockets. */
final class Http {

    private Http() {}

    /** One message: the words of its first line, its headers and its body. */
    static final class Message {
        String firstLine = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = {};

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return "";
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int read = input.read();
        if (read < 0) {
            return null;
        }
        while (read >= 0 && read != '\n') {
            if (read != '\r') {
                bytes.write(read);
            }
            read = input.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a first line and headers; null at the end of the stream. */
    static Message head(InputStream input) throws IOException {
        String first = line(input);
        while (first != null && first.isEmpty()) {
            first = line(input);
        }
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.firstLine = first;
        for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
        return message;
    }

    /** Reads a complete request; null at the end of the stream. */
    static Message request(InputStream input) throws IOException {
        Message message = head(input);
        if (message != null) {
            message.body = body(input, message, false);
        }
        return message;
    }

    /** Reads a complete response. */
    static Message response(InputStream input) throws IOException {
        Message message = head(input);
        if (message == null) {
            throw new EOFException("the connection was closed before a response");
        }
        message.body = body(input, message, true);
        return message;
    }

    private static byte[] body(InputStream input, Message message, boolean untilEnd) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(input); chunk.length > 0; chunk = chunk(input)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        if (!message.header("Content-Length").isEmpty()) {
            byte[] body = input.readNBytes(Integer.parseInt(message.header("Content-Length")));
            if (body.length < Integer.parseInt(message.header("Content-Length"))) {
                throw new EOFException("the body is incomplete");
            }
            return body;
        }
        return untilEnd ? input.readAllBytes() : new byte[0];
    }

    /** Reads one chunk; an empty one at the end of the body. */
    static byte[] chunk(InputStream input) throws IOException {
        String size = line(input);
        if (size == null) {
            throw new EOFException("the connection was closed inside a chunked body");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = input.readNBytes(length);
        if (chunk.length < length) {
            throw new EOFException("the connection was closed inside a chunk");
        }
        line(input);
        return chunk;
    }
}
