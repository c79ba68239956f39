package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry, started with the command and the settings template of the deploy folder. */
final class EntryProcess implements AutoCloseable {

    final String name;
    final String ip;
    final int callerPort;
    final int peerPort;
    private final int readyPort;
    private final Site site;
    private final Path root;
    private final Path folder;
    private Process process;

    EntryProcess(int number, Site site, Path root, Path folder) throws IOException {
        this.name = "front-" + number;
        this.ip = "127.0.0." + (10 + number);
        this.site = site;
        this.root = root;
        this.folder = folder;
        this.callerPort = freePort(ip);
        this.readyPort = freePort(ip);
        this.peerPort = freePort(ip);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    /** Starts the process; seeds are a JSON list of peer addresses. */
    void start(String seeds, String storeAddress) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(seeds, storeAddress));
        ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().put("MERLINWOOD_SETTINGS", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = builder.start();
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    private List<String> command() throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private String settings(String seeds, String storeAddress) throws IOException {
        Map<String, String> values = Map.of(
                "node_name", quote(name),
                "zone", quote("zone-a"),
                "listen.front", quote(ip + ":" + callerPort),
                "listen.ready", quote(ip + ":" + readyPort),
                "listen.control", quote(ip + ":" + peerPort),
                "seed_nodes", seeds,
                "platform.address", quote(storeAddress),
                "bounds.grace_s", "8",
                "bounds.require_fencing", "true");
        Map<String, String> bounds = Map.of(
                "budget_ratio", "0.2", "budget_slack", String.valueOf(site.repeatSlack()), "budget_window_s", "10");
        String text = Files.readString(root.resolve("deploy/entry-settings.json"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", value.getValue());
        }
        for (Map.Entry<String, String> bound : bounds.entrySet()) {
            text = text.replace("{{bounds." + bound.getKey() + "|json}}", bound.getValue());
        }
        return text.replaceAll("\\{\\{bounds\\.[a-z_]+\\}\\}", "");
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(Bytes.join("GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0]));
            HttpMessage answer = HttpMessage.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Ends the process at once, as SIGKILL does, and waits for its end. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
