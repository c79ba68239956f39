import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 reader and writer, and a server with one virtual thread for each connection. */
final class Http {

    private Http() {}

    /** A request or a response: the words of the first line, the headers in lower case, and the body. */
    static final class Message {
        String[] start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String method() {
            return start[0];
        }

        String target() {
            return start[1];
        }

        String path() {
            int query = target().indexOf('?');
            return query < 0 ? target() : target().substring(0, query);
        }

        String query(String name) {
            int query = target().indexOf('?');
            if (query >= 0) {
                for (String pair : target().substring(query + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(
                                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Handles one request; returns false to close the connection. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream output) throws Exception;
    }

    /** Reads a first line and headers; null at the end of the connection before the first byte. */
    static Message readHead(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.start = line.split(" ", 3);
        while (true) {
            line = readLine(input);
            if (line == null) {
                throw new EOFException("end inside a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end inside a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Receives the pieces of a body as they arrive. */
    interface Sink {
        void accept(byte[] bytes) throws IOException;
    }

    /** Reads a body to its end. Throws if the connection ends before that. */
    static void readBody(Message message, InputStream input, boolean response, Sink sink) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            while (true) {
                String line = readLine(input);
                if (line == null) {
                    throw new EOFException("end between chunks");
                }
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size == 0) {
                    while (true) {
                        String trailer = readLine(input);
                        if (trailer == null) {
                            throw new EOFException("end inside trailers");
                        }
                        if (trailer.isEmpty()) {
                            return;
                        }
                    }
                }
                byte[] chunk = input.readNBytes(size);
                if (chunk.length < size) {
                    sink.accept(chunk);
                    throw new EOFException("end inside a chunk");
                }
                sink.accept(chunk);
                readLine(input);
            }
        }
        String length = message.header("content-length");
        if (length != null) {
            long left = Long.parseLong(length);
            while (left > 0) {
                byte[] part = new byte[(int) Math.min(left, 16_384)];
                int count = input.read(part);
                if (count < 0) {
                    throw new EOFException("end inside a body");
                }
                sink.accept(java.util.Arrays.copyOf(part, count));
                left -= count;
            }
        } else if (response && message.status() != 204 && message.status() != 304) {
            byte[] part = new byte[16_384];
            for (int count = input.read(part); count >= 0; count = input.read(part)) {
                sink.accept(java.util.Arrays.copyOf(part, count));
            }
        }
    }

    static byte[] head(int status, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        for (int index = 0; index < headers.length; index += 2) {
            text.append(headers[index]).append(": ").append(headers[index + 1]).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void respond(OutputStream output, int status, byte[] body, String... headers) throws IOException {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("Content-Length");
        all.add(String.valueOf(body.length));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head(status, all.toArray(String[]::new)));
        bytes.writeBytes(body);
        output.write(bytes.toByteArray());
        output.flush();
    }

    /** A server on one address. */
    static final class Server implements AutoCloseable {
        final InetSocketAddress address;
        private final Handler handler;
        private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;

        Server(InetSocketAddress address, Handler handler) throws IOException {
            this.address = address;
            this.handler = handler;
            listen();
        }

        /** Starts to listen again after {@link #close()}. */
        void listen() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 512);
            listener = socket;
            Thread.ofVirtual().start(() -> accept(socket));
        }

        private void accept(ServerSocket socket) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    Thread.ofVirtual().start(() -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream input = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Message request = readHead(input);
                    if (request == null) {
                        return;
                    }
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    readBody(request, input, false, body::writeBytes);
                    request.body = body.toByteArray();
                    if (!handler.handle(request, connection, connection.getOutputStream())) {
                        return;
                    }
                }
            } catch (Exception ended) {
                // The other side has gone, or this server resets its connections.
            } finally {
                open.remove(connection);
            }
        }

        /** Resets all connections. */
        void resetAll() {
            open.forEach(Http::reset);
        }

        @Override
        public void close() {
            try {
                listener.close();
            } catch (IOException ignored) {
                // Nothing listens then.
            }
            resetAll();
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException ignored) {
            // Closed already.
        }
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }

    /** Returns a free port of a loopback address, below those that the system hands out for connections. */
    static InetSocketAddress free(String ip) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = 16_000 + java.util.concurrent.ThreadLocalRandom.current().nextInt(16_000);
            try (ServerSocket probe = new ServerSocket(port, 1, address)) {
                return new InetSocketAddress(address, port);
            } catch (java.net.BindException taken) {
                continue;
            }
        }
        throw new IOException("no free port of " + ip);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
