import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one plain request on a connection of its own. */
final class PlainClient {

    private PlainClient() {}

    /** Returns the status of the answer, 0 if the connection was closed without one, -1 if none came in time. */
    static int call(InetSocketAddress entry, String method, String path, String attempt, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(entry, 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attempt
                                    + "\r\nDeadline-Ms: 1500\r\n" + (method.equals("GET") ? "" : "Content-Length: 5\r\n")
                                    + "\r\n" + (method.equals("GET") ? "" : "order"))
                            .getBytes(StandardCharsets.US_ASCII));
            return Http.response(new BufferedInputStream(socket.getInputStream())).status();
        } catch (java.net.SocketTimeoutException late) {
            return -1;
        } catch (IOException closed) {
            return 0;
        }
    }
}
