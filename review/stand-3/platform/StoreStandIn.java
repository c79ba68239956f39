package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The platform's store: ranges and watches over HTTP; the case itself writes to it. */
final class StoreStandIn implements AutoCloseable {

    private static final int PAGE_ITEMS = 500;

    private record Item(String key, byte[] value, long revision, long created) {

        private String json() {
            String start = "{\"key\":\"" + key + "\",\"revision\":" + revision;
            return value == null
                    ? start + ",\"deleted\":true}"
                    : start + ",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"created\":" + created
                            + ",\"lease\":0}";
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final LoopbackServer server;
    private long revision = 100;

    StoreStandIn() throws IOException {
        server = new LoopbackServer(0, this::serve);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    synchronized void put(String key, String value) {
        revision++;
        Item former = items.get(key);
        Item item = new Item(
                key, value.getBytes(StandardCharsets.UTF_8), revision, former == null ? revision : former.created);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void serve(Socket connection) {
        try {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            HttpMessage request = HttpMessage.readHead(in);
            while (request != null) {
                byte[] body = answer(URI.create(request.target())).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
                connection.getOutputStream().write(Bytes.join(head, body));
                request = HttpMessage.readHead(in);
            }
        } catch (IOException | InterruptedException ended) {
            // The entry reads again on another connection.
        }
    }

    private String answer(URI target) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        for (String field : target.getRawQuery().split("&")) {
            int equals = field.indexOf('=');
            query.put(
                    field.substring(0, equals), URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return target.getPath().endsWith("kv-range") ? range(query) : watch(query);
    }

    private synchronized String range(Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        List<Item> rest = items.tailMap(after, after.isEmpty()).values().stream()
                .filter(item -> item.key.startsWith(query.get("prefix")))
                .toList();
        String page = rest.stream().limit(PAGE_ITEMS).map(Item::json).collect(Collectors.joining(","));
        return "{\"items\":[" + page + "],\"has_more\":" + (rest.size() > PAGE_ITEMS) + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endMillis = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        List<Item> events = eventsAfter(after, query.get("prefix"));
        while (events.isEmpty() && System.currentTimeMillis() < endMillis) {
            wait(Math.max(1, endMillis - System.currentTimeMillis()));
            events = eventsAfter(after, query.get("prefix"));
        }
        String list = events.stream().map(Item::json).collect(Collectors.joining(","));
        return "{\"events\":[" + list + "],\"at\":" + revision + "}";
    }

    private List<Item> eventsAfter(long after, String prefix) {
        return history.stream()
                .filter(item -> item.revision > after && item.key.startsWith(prefix))
                .toList();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
