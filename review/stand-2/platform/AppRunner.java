import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A runner of a plain service. Counts how often each attempt has run. */
final class AppRunner {

    final String id;
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** Arrivals in milliseconds of the recorder, by attempt; the last one counts. */
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();

    private final Recorder recorder;
    private final ServerSocket server;
    private final int workMillis;
    private final long born = System.currentTimeMillis();

    AppRunner(String id, int workMillis, Recorder recorder) throws IOException {
        this.id = id;
        this.workMillis = workMillis;
        this.recorder = recorder;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    void register(Store store, String service) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + Entry.text(address())
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"sequence\":0,\"born\":" + born + "}");
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.request(input); request != null; request = Http.request(input)) {
                String attempt = request.header("Attempt-Id");
                String expected = request.header("Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    socket.getOutputStream()
                            .write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                runs.merge(attempt, 1, Integer::sum);
                arrivals.put(attempt, recorder.millis());
                recorder.line("run " + attempt + " at " + id);
                Thread.sleep(workMillis);
                byte[] body = ("answer to " + attempt).getBytes(StandardCharsets.US_ASCII);
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: " + id + "."
                                        + attempt + "\r\nServer-Load: 1,0,6\r\nContent-Length: " + body.length + "\r\n\r\n"
                                        + new String(body, StandardCharsets.US_ASCII))
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException closed) {
            // The caller has closed its connection.
        }
    }
}
