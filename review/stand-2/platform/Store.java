import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as its page describes it, for reads: kv-key, kv-range and kv-watch, with one revision. */
final class Store {

    private record Item(String key, byte[] value, long revision, long created) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private long revision = 100;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Writes a key, or removes it if the value is null; returns once that is acknowledged. */
    synchronized long put(String key, String value) {
        revision++;
        Item old = items.get(key);
        byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
        items.put(key, new Item(key, bytes, revision, old == null ? revision : old.created()));
        notifyAll();
        return revision;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.request(input); request != null; request = Http.request(input)) {
                String body = answer(request.target());
                String status = body == null ? "404 Not Found" : "200 OK";
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                OutputStream output = socket.getOutputStream();
                output.write(("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: "
                                + bytes.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                output.write(bytes);
                output.flush();
            }
        } catch (IOException | InterruptedException closed) {
            // The caller has closed its connection.
        }
    }

    private String answer(String target) throws InterruptedException {
        Map<String, String> query = query(target);
        if (target.startsWith("/v1/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.getOrDefault("after", "0")),
                    Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        if (target.startsWith("/v1/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        }
        return target.startsWith("/v1/kv-key") ? key(query.getOrDefault("key", "")) : null;
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        return item == null || item.value() == null ? null : json(item).replace("}", ",\"at\":" + revision + "}");
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.value() != null && item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                found.add(json(item));
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            items.values().stream()
                    .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                    .sorted((one, other) -> Long.compare(one.revision(), other.revision()))
                    .forEach(item -> events.add(json(item)));
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(leftMillis);
        }
    }

    private static String json(Item item) {
        String key = "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision();
        return item.value() == null
                ? key + ",\"deleted\":true}"
                : key + ",\"value\":\"" + Base64.getEncoder().encodeToString(item.value()) + "\",\"created\":"
                        + item.created() + ",\"lease\":0}";
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        for (String pair : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
