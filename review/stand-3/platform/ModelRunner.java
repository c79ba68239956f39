package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * A model runner of stage decode. Each event of its streams holds the software version that made it. It keeps the parts
 * of the prompts that it has read, until its process ends, and lists them.
 */
final class ModelRunner implements AutoCloseable {

    private static final int EVENTS_OF_SHORT_STREAM = 10;

    /** The mean of the site. */
    private static final int EVENTS_OF_LONG_STREAM = 70;

    final String id;
    private final int slots;
    private final StoreStandIn store;
    private final Record record;
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, Long> holds = new ConcurrentHashMap<>();
    private final PromptMemory memory;
    private final String version;
    private final long bornMillis = System.currentTimeMillis();
    private final long eventMillis;
    private volatile long silentMillis;
    private volatile long silentUntilMillis;
    private final LoopbackServer server;

    /** Starts a runner that makes an event each so many milliseconds. */
    ModelRunner(String id, String version, Site site, long eventMillis, StoreStandIn store, Record record)
            throws IOException {
        this.id = id;
        this.version = version;
        this.slots = site.slots();
        this.memory = new PromptMemory(site.memoryTokens());
        this.eventMillis = eventMillis;
        this.store = store;
        this.record = record;
        this.server = new LoopbackServer(0, this::serve);
        register();
    }

    /** Writes the entry of this runner in the store. */
    private void register() {
        store.put(
                "servers/" + id,
                "{\"service\":\"llm\",\"address\":\"127.0.0.1:" + server.port()
                        + "\",\"zone\":\"zone-a\",\"version\":\"" + version + "\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
                        + "\"sequence\":1,\"born\":" + bornMillis + ",\"stage\":\"decode\","
                        + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}");
        record.write("runner " + id + " is registered with version " + version);
    }

    /** Falls silent for so long as soon as it is asked next which prompts it holds. */
    void fallSilentWhenListed(long millis) {
        silentMillis = millis;
    }

    private void serve(Socket connection) {
        try {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            HttpMessage request = HttpMessage.readHead(in);
            while (request != null) {
                request.readBody(in, part -> {});
                handle(request, connection.getOutputStream());
                request = HttpMessage.readHead(in);
            }
        } catch (IOException | InterruptedException ended) {
            // The other side has closed the connection, or this runner was stopped.
        }
    }

    private void handle(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String path = request.target();
        if (path.equals("/v1/kv-list") && silentMillis > 0) {
            silentUntilMillis = System.currentTimeMillis() + silentMillis;
            record.write("runner " + id + " falls silent for " + silentMillis + " ms");
            silentMillis = 0;
        }
        awaitEndOfSilence();
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            answer(out, 421, "Not-Executed: 1\r\n", "");
        } else if (path.equals("/health")) {
            answer(out, 200, "Instance-Id: " + id + "\r\n" + load(), "");
        } else if (path.equals("/v1/hold-take")) {
            takeHold(out);
        } else if (path.equals("/v1/kv-list")) {
            Map<String, Integer> held = memory.held();
            String parts = held.entrySet().stream()
                    .map(part -> "[\"\",\"" + part.getKey() + "\"," + part.getValue() + ",\"m\"]")
                    .collect(Collectors.joining(","));
            record.write("runner " + id + " lists " + held.size() + " parts");
            answer(out, 200, "", "{\"epoch\":" + bornMillis + ",\"next\":1,\"held\":[" + parts + "]}");
        } else if (path.startsWith("/v1/hold-drop/")) {
            holds.remove(path.substring(path.lastIndexOf('/') + 1));
            answer(out, 200, "", "");
        } else if (path.startsWith("/v1/")) {
            record.write("runner " + id + " got a call that this stand-in doesn't know: " + request.firstLine);
            answer(out, 404, "", "");
        } else {
            run(request, out);
        }
    }

    private void awaitEndOfSilence() throws InterruptedException {
        while (System.currentTimeMillis() < silentUntilMillis) {
            Thread.sleep(5);
        }
    }

    private void takeHold(OutputStream out) throws IOException {
        long nowMillis = System.currentTimeMillis();
        holds.values().removeIf(endMillis -> endMillis < nowMillis);
        if (running.get() + holds.size() >= slots || !memory.hasRoom(StreamClient.TOKENS * (holds.size() + 1))) {
            answer(out, 503, "", "");
            return;
        }
        String hold = UUID.randomUUID().toString().replace("-", "");
        holds.put(hold, nowMillis + 2_000);
        answer(out, 200, "", "{\"hold\":\"" + hold + "\"}");
    }

    private void run(HttpMessage request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        boolean held = request.header("Kv-Hold") != null && holds.remove(request.header("Kv-Hold")) != null;
        if (running.incrementAndGet() > slots && !held) {
            running.decrementAndGet();
            answer(out, 503, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n" + load(), "");
            return;
        }
        PromptMemory.Use use = memory.use(request.header("Prompt-Prefix"));
        try {
            stream(request, attempt, out);
        } finally {
            memory.release(use);
            running.decrementAndGet();
        }
    }

    private void stream(HttpMessage request, String attempt, OutputStream out)
            throws IOException, InterruptedException {
        long endMillis = System.currentTimeMillis() + Long.parseLong(request.header("Deadline-Ms"));
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        record.write("run " + attempt + " at " + id + ", version " + version + ", from event " + first);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
                + "\r\nResponse-Signature: " + id + "." + attempt + "\r\nWeight-Versions: 1\r\n" + load()
                + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(Bytes.join(head, new byte[0]));
        int events = request.text().startsWith("short") ? EVENTS_OF_SHORT_STREAM : EVENTS_OF_LONG_STREAM;
        for (int number = first; number <= events; number++) {
            Thread.sleep(eventMillis);
            awaitEndOfSilence();
            if (System.currentTimeMillis() > endMillis) {
                throw new IOException("the time of the request is over");
            }
            String event = "id: " + number + "\ndata: " + version + (number == events ? " last" : "") + "\n\n";
            out.write(Bytes.join(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", new byte[0]));
        }
        out.write(Bytes.join("0\r\n\r\n", new byte[0]));
    }

    private String load() {
        return "Server-Load: " + running.get() + ",0," + slots + "\r\n";
    }

    private static void answer(OutputStream out, int status, String headers, String body) throws IOException {
        out.write(Bytes.join(
                "HTTP/1.1 " + status + " Answer\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body,
                new byte[0]));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
