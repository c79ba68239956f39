import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model runner of the decode stage: reserves, reads prompts one after the other, and streams events. */
final class ModelRunner {

    /** Prompt tokens that a decode runner reads in a millisecond: half of those of the sheets. */
    private static final double TOKENS_PER_MILLI = 55.5 / 2;

    /** Requests at once, as on the sheet. */
    static final int SLOTS = 16;

    final String id;
    final String service;
    private final Recorder recorder;
    private final InetSocketAddress address;
    private final int eventMillis;
    /** Ends of the leases of slots that are reserved and not used, in milliseconds, by their identifiers. */
    private final Map<String, Long> holds = new HashMap<>();

    private final AtomicInteger lastHold = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    volatile int mostRunning;
    private ServerSocket server;
    private Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private Semaphore reader = new Semaphore(1, true);
    private volatile String version;
    private volatile long born;

    ModelRunner(String id, String service, String version, int eventMillis, Recorder recorder) throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.eventMillis = eventMillis;
        this.recorder = recorder;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        this.address = (InetSocketAddress) server.getLocalSocketAddress();
        boot();
    }

    InetSocketAddress address() {
        return address;
    }

    private void boot() {
        born = System.currentTimeMillis();
        ServerSocket listening = server;
        Set<Socket> accepted = sockets;
        Semaphore ownReader = reader;
        String ownVersion = version;
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Socket socket = listening.accept();
                    accepted.add(socket);
                    Thread.ofVirtual().start(() -> serve(socket, accepted, ownReader, ownVersion));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    /** Returns the number of streams in progress. */
    int running() {
        return running.get();
    }

    /** Writes the runner's entry into the store. */
    void register(Store store, String state) {
        recorder.line("store: " + id + " " + state + " version " + version + " born " + born);
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + Entry.text(address)
                        + "\",\"zone\":\"zone-a\",\"version\":\"" + version + "\",\"slots\":16,\"state\":\"" + state
                        + "\",\"cold_remaining_ms\":0,\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,"
                        + "\"adapters\":[]}],\"sequence\":0,\"born\":" + born + "}");
    }

    /** Ends the process of the runner and starts it again some time later, with a version of its software. */
    void restart(String newVersion, long downMillis) throws IOException, InterruptedException {
        recorder.line("runner " + id + " crashes");
        server.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        version = newVersion;
        sockets = ConcurrentHashMap.newKeySet();
        reader = new Semaphore(1, true);
        synchronized (this) {
            holds.clear();
        }
        Thread.sleep(downMillis);
        server = listenAgain();
        boot();
        recorder.line("runner " + id + " is back under its id, version " + newVersion + ", born " + born);
    }

    /** Listens on the address of before; the operating system may need a moment to free it. */
    private ServerSocket listenAgain() throws IOException, InterruptedException {
        for (int tries = 0; ; tries++) {
            ServerSocket listening = new ServerSocket();
            try {
                listening.setReuseAddress(true);
                listening.bind(address, 200);
                return listening;
            } catch (BindException inUse) {
                listening.close();
                if (tries == 100) {
                    throw inUse;
                }
                Thread.sleep(5);
            }
        }
    }

    private void serve(Socket socket, Set<Socket> accepted, Semaphore ownReader, String ownVersion) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.request(input); request != null; request = Http.request(input)) {
                answer(request, socket, ownReader, ownVersion);
            }
        } catch (IOException | InterruptedException closed) {
            // The caller has closed its connection, or this runner has restarted.
        } finally {
            accepted.remove(socket);
        }
    }

    private void answer(Http.Message request, Socket socket, Semaphore ownReader, String ownVersion)
            throws IOException, InterruptedException {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            send(socket, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", "");
        } else if (request.target().equals("/v1/hold-take")) {
            String hold = reserve(request.text());
            if (hold.isEmpty()) {
                send(socket, "503 Service Unavailable", "Not-Executed: 1\r\n", "");
            } else {
                send(socket, "200 OK", "", "{\"hold\":\"" + hold + "\"}");
            }
        } else if (request.target().startsWith("/v1/hold-drop/")) {
            drop(request.target().substring("/v1/hold-drop/".length()));
            send(socket, "200 OK", "", "{}");
        } else if (request.target().startsWith("/v1/kv-handle/")) {
            send(socket, "200 OK", "", "{}");
        } else if (request.target().startsWith("/v1/kv-list")) {
            send(socket, "200 OK", "", "{\"epoch\":1,\"next\":1,\"held\":[]}");
        } else if (!request.header("Stage").isEmpty()) {
            send(socket, "421 Misdirected Request", "Instance-Id: " + id + "\r\n", "");
        } else if (!begin(request.header("Kv-Hold"))) {
            send(socket, "503 Service Unavailable", "Not-Executed: 1\r\n", "");
        } else {
            try {
                stream(request, socket, ownReader, ownVersion);
            } finally {
                running.decrementAndGet();
            }
        }
    }

    /** Reserves a slot; returns an empty text if none is free. The memory of the sheet holds more than all slots need. */
    private synchronized String reserve(String body) {
        if (free() <= 0) {
            return "";
        }
        Matcher lease = Pattern.compile("\"ttl_ms\" *: *(\\d+)").matcher(body);
        long leaseMillis = lease.find() ? Long.parseLong(lease.group(1)) : 0;
        String hold = "h" + lastHold.incrementAndGet();
        holds.put(hold, recorder.millis() + leaseMillis);
        return hold;
    }

    /** Takes a slot for a run, the one that was reserved if the reservation is valid; returns false if none is free. */
    private synchronized boolean begin(String hold) {
        int free = free();
        if (holds.remove(hold) == null && free <= 0) {
            return false;
        }
        mostRunning = Math.max(mostRunning, running.incrementAndGet());
        return true;
    }

    private synchronized void drop(String hold) {
        holds.remove(hold);
    }

    private int free() {
        holds.values().removeIf(end -> end <= recorder.millis());
        return SLOTS - running.get() - holds.size();
    }

    private void send(Socket socket, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        OutputStream output = socket.getOutputStream();
        output.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        output.write(bytes);
        output.flush();
    }

    private void stream(Http.Message request, Socket socket, Semaphore ownReader, String ownVersion)
            throws IOException, InterruptedException {
        String attempt = request.header("Attempt-Id");
        String[] counts = request.header("Token-Counts").split(",");
        int events = Integer.parseInt(counts[1].trim());
        int last = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        long deadline = recorder.millis() + Long.parseLong(request.header("Deadline-Ms"));
        recorder.line("run " + attempt + " at " + id + " version " + ownVersion + " behind event " + last);
        ownReader.acquire();
        try {
            Thread.sleep(Math.round(Integer.parseInt(counts[0].trim()) / TOKENS_PER_MILLI));
        } finally {
            ownReader.release();
        }
        OutputStream output = socket.getOutputStream();
        output.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: " + id + "." + attempt
                        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int number = last + 1; number <= events; number++) {
            if (recorder.millis() > deadline) {
                recorder.line("stopped at its deadline: " + attempt);
                throw new IOException("the time is over");
            }
            byte[] event = ("id: " + number + "\ndata: " + attempt + " " + ownVersion + " piece " + number + "\n\n")
                    .getBytes(StandardCharsets.US_ASCII);
            output.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            output.write(event);
            output.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            output.flush();
            Thread.sleep(eventMillis);
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }
}
