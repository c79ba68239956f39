import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/**
 * The platform's metadata store, as far as a reader uses it: items, pages of 500, watches, a history of 20 seconds. The
 * operator and the runners write to it within this process; a write fails while the store is down.
 */
final class Store implements AutoCloseable {

    /** How the store treats all callers. */
    enum Mode {
        SERVE,
        BUSY,
        RESET,
        SILENT
    }

    private static final long HISTORY_MILLIS = 20_000;
    private static final int PAGE_ITEMS = 500;

    private record Item(String value, long revision, long created) {}

    private record Event(String key, String value, long revision, long atMillis) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Http.Server server;
    private long revision = 400;
    private long compacted = 400;
    private volatile Mode mode = Mode.SERVE;

    Store(InetSocketAddress address) throws IOException {
        server = new Http.Server(address, this::handle);
    }

    InetSocketAddress address() {
        return server.address;
    }

    void mode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET || newMode == Mode.BUSY) {
            server.resetAll();
        }
    }

    /** Writes an item, or removes it if the value is null; returns false while the store is down. */
    synchronized boolean write(String key, String value) {
        if (mode != Mode.SERVE) {
            return false;
        }
        if (value == null && !items.containsKey(key)) {
            return true;
        }
        revision++;
        if (value == null) {
            items.remove(key);
        } else {
            Item previous = items.get(key);
            items.put(key, new Item(value, revision, previous == null ? revision : previous.created));
        }
        history.add(new Event(key, value, revision, Rig.millis()));
        while (history.getFirst().atMillis < Rig.millis() - HISTORY_MILLIS) {
            compacted = history.removeFirst().revision;
        }
        notifyAll();
        return true;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream output) throws Exception {
        switch (mode) {
            case RESET -> {
                Http.reset(socket);
                return false;
            }
            case BUSY -> {
                Http.respond(output, 503, new byte[0], "Store-Era", "1");
                return true;
            }
            case SILENT -> {
                Thread.sleep(600_000);
                return false;
            }
            default -> {}
        }
        String body;
        int status = 200;
        switch (request.path()) {
            case "/v1/kv-range" -> body = range(request.query("prefix"), request.query("after"));
            case "/v1/kv-watch" -> {
                body = watch(
                        request.query("prefix"),
                        Long.parseLong(request.query("after")),
                        Math.min(30_000, Long.parseLong(request.query("wait_ms"))));
                status = body == null ? 410 : 200;
            }
            default -> {
                body = null;
                status = 404;
            }
        }
        if (mode == Mode.SILENT) {
            Thread.sleep(600_000);
        }
        byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
        Http.respond(output, status, bytes, "Content-Type", "application/json", "Store-Era", "1");
        return true;
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (var entry : items.tailMap(after.isEmpty() ? "" : after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (page.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            Item item = entry.getValue();
            page.add(item(entry.getKey(), item.value, item.revision, item.created));
        }
        return "{\"items\":[" + String.join(",", page) + "],\"has_more\":" + more + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long endMillis = Rig.millis() + waitMillis;
        while (true) {
            if (after < compacted || after > revision) {
                return null;
            }
            List<String> events = history.stream()
                    .filter(event -> event.revision > after && event.key.startsWith(prefix))
                    .map(event -> event.value == null
                            ? "{\"key\":\"" + event.key + "\",\"revision\":" + event.revision + ",\"deleted\":true}"
                            : item(event.key, event.value, event.revision, event.revision))
                    .toList();
            long leftMillis = endMillis - Rig.millis();
            if (!events.isEmpty() || leftMillis <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(leftMillis);
        }
    }

    private static String item(String key, String value, long revision, long created) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\":\"" + key + "\",\"value\":\"" + encoded + "\",\"revision\":" + revision + ",\"created\":"
                + created + ",\"lease\":0}";
    }

    @Override
    public void close() {
        server.close();
    }
}
