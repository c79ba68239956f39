package org.merlinwood.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller on a plain socket that can stop reading or disconnect at any time. */
final class RawSocketCaller implements AutoCloseable {

    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final Socket socket;

    RawSocketCaller(EntryFixture fixture) throws IOException {
        socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(), fixture.entry.callerAddress().getPort()));
        socket.setSoTimeout((int) EntryFixture.TIMEOUT.toMillis());
    }

    void post(String path, String body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: entry\r\n")
                .append("Authorization: Bearer " + EntryFixture.TOKEN + "\r\n")
                .append("Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n");
        for (int index = 0; index < headers.length; index += 2) {
            head.append(headers[index] + ": " + headers[index + 1] + "\r\n");
        }
        send(head + "\r\n" + body);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads until the response ends with the given text or the connection is closed. */
    String readUntil(String expected) throws IOException {
        StringBuilder response = new StringBuilder();
        InputStream input = socket.getInputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            response.append((char) next);
            if (response.toString().endsWith(expected)) {
                break;
            }
        }
        return response.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
