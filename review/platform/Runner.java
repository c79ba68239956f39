import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A runner: a plain one, or a model runner of one stage. It registers itself in the store, beats every 1.2 s, and its
 * entry is removed after three beats of silence. It drops a request when the channel closes.
 */
final class Runner implements AutoCloseable {

    static final int STRIDE = 72;
    static final int SLOTS = 16;
    static final int PLAIN_SLOTS = 6;
    static final int PLAIN_QUEUE = 24;
    static final long KV_TOKENS = 74_442;
    private static final int PADDING_BYTES = 270;
    private static final long BEAT_MILLIS = 1_200;
    private static final double PROMPT_TOKENS_PER_MILLI = 55.5;

    /** One run of a request. */
    static final class Run {
        String attempt;
        String runner;
        long born;
        String version;
        String method;
        String target;
        int bodyHash;
        long startMillis;
        volatile long endMillis;
        volatile String end = "running";
    }

    private record Hold(long tokens, long endMillis) {}

    final String id;
    final String service;
    final String zone;
    volatile String stage;
    final CopyOnWriteArrayList<Run> runs;
    volatile String version;
    volatile long born = System.currentTimeMillis();
    volatile String state = "ready";

    /** Time between two events of a stream, and time of a plain request, in milliseconds. */
    volatile long eventMillis = 40;

    volatile long plainMillis = 30;

    /** Length of a plain answer, in bytes; it is not shorter than what it has to say. */
    volatile int answerBytes = 0;

    volatile boolean up = true;

    /** Whether each run is kept for the judge. */
    volatile boolean recordsRuns = true;

    private final Rig rig;
    private final Http.Server server;
    private final Map<String, Hold> holds = new HashMap<>();
    private final Map<String, Hold> handles = new HashMap<>();
    private int running;
    private int waiting;
    private long used;
    private long sequence;
    private int boot;
    private long silentSince = -1;
    private volatile boolean closed;
    private long fence;

    /** Whether an order is in progress: requests that have not begun are declined until it is done. */
    private boolean busy;

    private static final long SWITCH_MILLIS = 6_000;
    private long prefillFreeAt;

    Runner(Rig rig, String id, String service, String zone, String stage, String version, String ip, CopyOnWriteArrayList<Run> runs)
            throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
        this.version = version;
        this.runs = runs;
        this.server = new Http.Server(Http.free(ip), this::handle);
        Thread.ofVirtual().start(this::beat);
    }

    InetSocketAddress address() {
        return server.address;
    }

    /** Crashes: the channels are reset, nothing listens, nothing is said to the store. */
    synchronized void crash() {
        rig.log("runner " + id + " crashes");
        up = false;
        boot++;
        server.close();
        holds.clear();
        handles.clear();
    }

    /** Starts again under the same id. */
    synchronized void restart(String newVersion) throws IOException {
        version = newVersion;
        born = System.currentTimeMillis();
        state = "ready";
        running = 0;
        waiting = 0;
        used = 0;
        fence = 0;
        busy = false;
        server.listen();
        up = true;
        boolean written = register();
        rig.log("runner " + id + " starts again, version " + newVersion + ", registered: " + written);
    }

    void state(String newState) {
        state = newState;
        rig.log("runner " + id + " says " + newState + ", accepted: " + register());
    }

    boolean register() {
        sequence++;
        String stageField = stage == null
                ? ""
                : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
        return rig.store.write(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + Http.text(address()) + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"" + version + "\",\"slots\":" + (stage == null ? PLAIN_SLOTS : SLOTS)
                        + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0," + stageField + "\"born\":" + born
                        + ",\"sequence\":" + sequence + "}");
    }

    private void beat() {
        while (!closed) {
            if (up) {
                silentSince = -1;
                register();
            } else if (silentSince < 0) {
                silentSince = Rig.millis();
            } else if (Rig.millis() - silentSince > 3 * BEAT_MILLIS) {
                rig.store.write("servers/" + id, null);
            }
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private String answer(Run run) {
        String text = "answer " + Integer.toHexString(run.bodyHash) + " " + run.target;
        return text + " ".repeat(Math.max(0, answerBytes - text.length()));
    }

    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long number(String json, String field) {
        var matcher = java.util.regex.Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private boolean decline(OutputStream output, int status, String why) throws IOException {
        Http.respond(output, status, json(why), "Not-Executed", "1");
        return true;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream output) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return decline(output, 421, "another runner");
        }
        String path = request.path();
        String body = new String(request.body, StandardCharsets.UTF_8);
        switch (path) {
            case "/health" -> {
                Http.respond(output, 200, new byte[0], "Instance-Id", id);
                return true;
            }
            case "/v1/report" -> {
                Http.respond(output, 200, json(report()), "Content-Type", "application/json");
                return true;
            }
            case "/v1/order" -> {
                return order(body, output);
            }
            case "/v1/hold-take" -> {
                return hold(number(body, "tokens"), number(body, "ttl_ms"), output);
            }
            default -> {}
        }
        if (path.startsWith("/v1/hold-drop/")) {
            synchronized (this) {
                holds.remove(path.substring("/v1/hold-drop/".length()));
            }
            Http.respond(output, 200, json("{}"));
            return true;
        }
        if (path.startsWith("/v1/kv-handle/")) {
            boolean found;
            synchronized (this) {
                found = handles.remove(path.substring("/v1/kv-handle/".length())) != null;
            }
            Http.respond(output, found ? 200 : 404, json("{}"));
            return true;
        }
        if (request.header("Attempt-Id") == null) {
            return decline(output, 400, "no id");
        }
        if (stage == null) {
            return plain(request, socket, output);
        }
        if (busy) {
            return decline(output, 503, "an order is in progress");
        }
        boolean prefill = "prefill".equals(request.header("Stage"));
        if (prefill != stage.equals("prefill")) {
            return decline(output, 421, "wrong stage");
        }
        return prefill ? prefill(request, output) : decode(request, socket, output);
    }

    private synchronized String report() {
        return "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":" + busy + ","
                + "\"sequence\":0,\"waiting\":" + waiting + ",\"running\":" + running + ",\"kv_used\":" + used
                + ",\"kv_total\":" + KV_TOKENS + ",\"handles\":" + handles.size() + ",\"born\":" + born + "}";
    }

    /** Takes an order to change the stage. Checks fences. */
    private synchronized boolean order(String body, OutputStream output) throws IOException {
        long number = number(body, "fence");
        rig.log("order to " + id + ": " + body);
        String wanted = body.contains("\"stage\":\"prefill\"") ? "prefill" : "decode";
        int status = 202;
        if (stage == null || !body.contains("\"holder\"") || !body.contains("\"fence\"")) {
            status = 400;
        } else if (number < fence) {
            status = 412;
        } else if (busy) {
            status = 409;
        } else if (stage.equals(wanted)) {
            status = 200;
        }
        fence = Math.max(fence, number);
        if (status == 202) {
            busy = true;
            int bootAtStart = boot;
            Thread.ofVirtual().start(() -> carryOut(wanted, bootAtStart));
        }
        Http.respond(output, status, json("{}"));
        return true;
    }

    /** Lets running work end, and is back with the other stage after the switch time. */
    private void carryOut(String wanted, int bootAtStart) {
        try {
            while (running > 0 && boot == bootAtStart) {
                Thread.sleep(20);
            }
            Thread.sleep(SWITCH_MILLIS);
        } catch (InterruptedException interrupted) {
            return;
        }
        synchronized (this) {
            if (boot != bootAtStart) {
                return;
            }
            stage = wanted;
            busy = false;
        }
        register();
    }

    private synchronized void expire() {
        long now = Rig.millis();
        holds.values().removeIf(hold -> hold.endMillis < now);
        handles.values().removeIf(hold -> hold.endMillis < now);
    }

    private synchronized boolean fits(long tokens) {
        expire();
        long held = holds.values().stream().mapToLong(Hold::tokens).sum();
        return running + holds.size() < SLOTS && used + held + tokens <= KV_TOKENS;
    }

    private boolean hold(long tokens, long ttlMillis, OutputStream output) throws IOException {
        String name = Long.toHexString(ThreadLocalRandom.current().nextLong());
        synchronized (this) {
            if (busy || !fits(tokens)) {
                return decline(output, 503, "{}");
            }
            holds.put(name, new Hold(tokens, Rig.millis() + Math.min(ttlMillis, 2_000)));
        }
        Http.respond(output, 200, json("{\"hold\":\"" + name + "\"}"), "Content-Type", "application/json");
        return true;
    }

    private static long[] counts(Http.Message request) {
        String[] words = String.valueOf(request.header("Token-Counts")).split(",");
        return words.length < 2
                ? new long[] {0, 0}
                : new long[] {Long.parseLong(words[0].trim()), Long.parseLong(words[1].trim())};
    }

    private boolean prefill(Http.Message request, OutputStream output) throws Exception {
        long tokens = counts(request)[0];
        long waitMillis;
        int bootAtStart = boot;
        synchronized (this) {
            long now = Rig.millis();
            prefillFreeAt = Math.max(now, prefillFreeAt) + Math.round(tokens / PROMPT_TOKENS_PER_MILLI);
            waitMillis = prefillFreeAt - now;
        }
        Thread.sleep(waitMillis);
        String name = Long.toHexString(ThreadLocalRandom.current().nextLong());
        synchronized (this) {
            if (boot != bootAtStart) {
                return false;
            }
            handles.put(name, new Hold(tokens, Rig.millis() + 500));
        }
        Http.respond(
                output,
                200,
                json("{\"handle\":\"" + name + "\",\"tokens\":" + tokens + ",\"version\":1}"),
                "Content-Type",
                "application/json");
        return true;
    }

    private boolean fetch(String source) {
        try {
            int slash = source.indexOf('/');
            String ip = source.substring(0, source.indexOf(':'));
            int port = Integer.parseInt(source.substring(source.indexOf(':') + 1, slash));
            Client.Answer answer = Client.call(
                    new InetSocketAddress(ip, port),
                    Client.request("DELETE", "/v1/kv-handle/" + source.substring(slash + 1), new byte[0]),
                    1_000,
                    1_000);
            return answer.status == 200;
        } catch (RuntimeException malformed) {
            return false;
        }
    }

    private Run begin(Http.Message request) {
        Run run = new Run();
        run.attempt = request.header("Attempt-Id");
        run.runner = id;
        run.born = born;
        run.version = version;
        run.method = request.method();
        run.target = request.target();
        run.bodyHash = java.util.Arrays.hashCode(request.body);
        run.startMillis = Rig.millis();
        if (recordsRuns) {
            runs.add(run);
        }
        return run;
    }

    private static void end(Run run, String how) {
        run.end = how;
        run.endMillis = Rig.millis();
    }

    private boolean decode(Http.Message request, Socket socket, OutputStream output) throws Exception {
        long[] counts = counts(request);
        String source = request.header("Kv-Source");
        if (source != null && !fetch(source)) {
            return decline(output, 503, "the memory can't be had");
        }
        String hold = request.header("Kv-Hold");
        long tokens = counts[0] + counts[1];
        int bootAtStart = boot;
        synchronized (this) {
            boolean held = hold != null && holds.remove(hold) != null;
            if (!held && !fits(counts[0])) {
                return decline(output, 503, "full");
            }
            running++;
            used += tokens;
        }
        if (source == null) {
            Thread.sleep(Math.round(2 * counts[0] / PROMPT_TOKENS_PER_MILLI));
        }
        try {
            return stream(request, socket, output, counts[1], bootAtStart);
        } finally {
            synchronized (this) {
                if (boot == bootAtStart) {
                    running--;
                    used -= tokens;
                }
            }
        }
    }

    /** Streams the events; their number follows from the request. */
    private boolean stream(Http.Message request, Socket socket, OutputStream output, long outTokens, int bootAtStart)
            throws Exception {
        Run run = begin(request);
        String last = request.header("Last-Event-Id");
        long first = last == null ? 1 : Long.parseLong(last) + 1;
        long pieces = Math.max(1, outTokens / STRIDE);
        String name = id + "/" + born + "/" + version;
        try {
            output.write(Http.head(
                    200,
                    "Attempt-Id",
                    run.attempt,
                    "Response-Signature",
                    "sig-" + id,
                    "Content-Type",
                    "text/event-stream",
                    "Transfer-Encoding",
                    "chunked"));
            for (long piece = first; piece <= pieces; piece++) {
                if (boot != bootAtStart) {
                    end(run, "crashed");
                    return false;
                }
                byte[] event = json("id: " + piece + "\ndata: " + Integer.toHexString(run.bodyHash) + " " + piece + " "
                        + name + "\n: " + "x".repeat(PADDING_BYTES) + "\n\n");
                output.write(json(Integer.toHexString(event.length) + "\r\n"));
                output.write(event);
                output.write(json("\r\n"));
                output.flush();
                Thread.sleep(eventMillis);
            }
            output.write(json("0\r\n\r\n"));
            output.flush();
            end(run, "complete");
            return true;
        } catch (IOException gone) {
            end(run, "channel closed");
            throw gone;
        }
    }

    private boolean plain(Http.Message request, Socket socket, OutputStream output) throws Exception {
        int bootAtStart = boot;
        long endMillis = Rig.millis() + 2_000;
        synchronized (this) {
            if (running >= PLAIN_SLOTS) {
                if (waiting >= PLAIN_QUEUE) {
                    return decline(output, 503, "full");
                }
                waiting++;
                while (running >= PLAIN_SLOTS && boot == bootAtStart && Rig.millis() < endMillis) {
                    wait(50);
                }
                waiting = Math.max(0, waiting - 1);
                if (running >= PLAIN_SLOTS) {
                    return decline(output, 503, "queued too long");
                }
            }
            running++;
        }
        try {
            if (request.header("Token-Counts") != null) {
                return stream(request, socket, output, counts(request)[1], bootAtStart);
            }
            Run run = begin(request);
            Thread.sleep(plainMillis);
            if (boot != bootAtStart) {
                end(run, "crashed");
                return false;
            }
            end(run, "complete");
            Http.respond(
                    output,
                    200,
                    json(answer(run)),
                    "Attempt-Id",
                    run.attempt,
                    "Response-Signature",
                    "sig-" + id,
                    "Server-Load",
                    running + "," + waiting + "," + PLAIN_SLOTS);
            return true;
        } finally {
            synchronized (this) {
                if (boot == bootAtStart) {
                    running--;
                }
                notifyAll();
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}
