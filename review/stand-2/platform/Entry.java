import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry, started as a process with the command and the template of the deploy file. */
final class Entry {

    final String name;
    final InetSocketAddress front;
    final InetSocketAddress ready;
    final InetSocketAddress control;
    private final Path root;
    private final Path folder;
    private Process process;

    Entry(String name, String ip, Path root, Path folder) throws IOException {
        this.name = name;
        this.root = root;
        this.folder = folder;
        this.front = free(ip);
        this.ready = free(ip);
        this.control = free(ip);
    }

    private static InetSocketAddress free(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Fills in the template and starts the process. */
    void start(String store, List<Entry> seeds, Map<String, String> bounds) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        String settings = Files.readString(root.resolve("deploy/entry-settings.json"))
                .replace("{{node_name|json}}", quote(name))
                .replace("{{zone|json}}", quote("zone-a"))
                .replace("{{listen.front|json}}", quote(text(front)))
                .replace("{{listen.ready|json}}", quote(text(ready)))
                .replace("{{listen.control|json}}", quote(text(control)))
                .replace("{{platform.address|json}}", quote(store))
                .replace(
                        "{{seed_nodes|json}}",
                        seeds.stream().map(seed -> quote(text(seed.control))).toList().toString());
        for (Map.Entry<String, String> bound : bounds.entrySet()) {
            settings = settings.replace("{{bounds." + bound.getKey() + "|json}}", bound.getValue())
                    .replace("{{bounds." + bound.getKey() + "}}", bound.getValue());
        }
        settings = settings.replaceAll("\\{\\{[^}]*\\}\\}", "");
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("MERLINWOOD_SETTINGS", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static String quote(String text) {
        return "\"" + text + "\"";
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the status of the readiness check, or 0 if there is no answer within the time. */
    int readyStatus(int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(ready, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream()
                    .write(("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n").getBytes());
            return Http.response(socket.getInputStream()).status();
        } catch (IOException silent) {
            return 0;
        }
    }

    /** Waits until the entry says that it is ready; returns false after the time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (readyStatus(1_000) == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Sends a signal by name to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    void kill() {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }
}
