import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A client's calls, each on a new channel. */
final class Client {

    private Client() {}

    /** What a client saw of one attempt. */
    static final class Answer {
        /** 0 if there was no head. */
        int status;

        Http.Message head;
        byte[] body = {};

        /** Whether the answer came with its end. */
        boolean complete;

        String problem = "";
        long tookMillis;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static void send(Socket socket, byte[] request, long uploadMillis) throws IOException {
        if (uploadMillis == 0) {
            socket.getOutputStream().write(request);
            return;
        }
        long startMillis = Rig.millis();
        int parts = Math.toIntExact(uploadMillis / 20);
        for (int part = 0; part < parts; part++) {
            int from = (int) ((long) request.length * part / parts);
            int to = (int) ((long) request.length * (part + 1) / parts);
            socket.getOutputStream().write(request, from, to - from);
            try {
                Thread.sleep(Math.max(0, startMillis + 20L * (part + 1) - Rig.millis()));
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
    }

    static int get(InetSocketAddress address, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Http.Message head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            return head == null ? 0 : head.status();
        }
    }

    static byte[] request(String method, String path, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n");
        for (int index = 0; index < headers.length; index += 2) {
            head.append(headers[index]).append(": ").append(headers[index + 1]).append("\r\n");
        }
        if (body.length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** Sends one request and reads its answer; gives up after a time, or after a gap between two reads. */
    static Answer call(InetSocketAddress address, byte[] request, long limitMillis, int gapMillis) {
        return call(address, request, limitMillis, gapMillis, 0);
    }

    /** Sends one request evenly over a time, and reads its answer. */
    static Answer call(InetSocketAddress address, byte[] request, long limitMillis, int gapMillis, long uploadMillis) {
        Answer answer = new Answer();
        long startMillis = Rig.millis();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, 1_000);
            socket.setSoTimeout(gapMillis);
            send(socket, request, uploadMillis);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            answer.head = Http.readHead(input);
            if (answer.head == null) {
                answer.problem = "closed without an answer";
            } else {
                answer.status = answer.head.status();
                Http.readBody(answer.head, input, true, bytes -> {
                    body.writeBytes(bytes);
                    if (Rig.millis() - startMillis > limitMillis) {
                        throw new SocketTimeoutException("the time budget has passed");
                    }
                });
                answer.complete = true;
            }
        } catch (IOException problem) {
            answer.problem = problem.toString();
        }
        answer.body = body.toByteArray();
        answer.tookMillis = Rig.millis() - startMillis;
        return answer;
    }
}
