import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: a store, runners, and entries as processes with the command and template of the deploy file. */
final class Rig implements AutoCloseable {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String[] ZONES = {"lalitpur", "bhaktapur", "kirtipur"};

    private static final long START_NANOS = System.nanoTime();

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Store store;
    final List<Entry> entries = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    private final PrintStream record;
    private boolean closing;

    /** Milliseconds of the steady clock since the start of the script. */
    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintStream(Files.newOutputStream(caseFolder.resolve("record.txt")), true);
        store = new Store(Http.free("127.0.200.1"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        log("trouble " + (TROUBLE ? "on" : "off"));
    }

    /** Writes a line to the record. */
    synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%9.3f  %s", millis() / 1_000.0, line));
    }

    /** Adds a runner, which registers itself and beats. */
    Runner add(Runner runner) {
        runners.add(runner);
        return runner;
    }

    /** Creates and starts entries, spread over the zones; those numbered 0 to 2 are the seeds. */
    void startEntries(int count) throws IOException {
        for (int index = 0; index < count; index++) {
            entries.add(new Entry(index));
        }
        for (Entry entry : entries) {
            entry.start();
        }
    }

    void awaitReady() throws InterruptedException {
        for (Entry entry : entries) {
            entry.awaitReady(30_000);
        }
    }

    /** An entry: its addresses and its process. */
    final class Entry {
        final String name;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        final InetSocketAddress control;
        private final String zone;
        Process process;

        Entry(int index) throws IOException {
            zone = ZONES[index % ZONES.length];
            name = "front-" + zone + "-" + (index / ZONES.length + 1);
            String ip = "127.0." + (index % ZONES.length + 1) + "." + (index / ZONES.length + 1);
            front = Http.free(ip);
            ready = Http.free(ip);
            control = Http.free(ip);
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".settings");
            Files.writeString(settings, fillTemplate());
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("the deploy file has no command");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MERLINWOOD_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(name + ".log").toFile()));
            synchronized (Rig.this) {
                if (closing) {
                    throw new IOException("the script ends");
                }
                process = builder.start();
            }
            log(name + " starts, process " + process.pid());
        }

        private String fillTemplate() throws IOException {
            Map<String, String> values = new TreeMap<>();
            values.put("node_name", quote(name));
            values.put("zone", quote(zone));
            values.put("listen.front", quote(Http.text(front)));
            values.put("listen.ready", quote(Http.text(ready)));
            values.put("listen.control", quote(Http.text(control)));
            values.put(
                    "seed_nodes",
                    "[" + String.join(
                                    ",",
                                    entries.stream()
                                            .limit(3)
                                            .map(entry -> quote(Http.text(entry.control)))
                                            .toList())
                            + "]");
            values.put("platform.address", quote(Http.text(store.address())));
            values.put("bounds.grace_s", "8");
            values.put("bounds.budget_ratio", "0.2");
            values.put("bounds.budget_slack", "58");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.require_fencing", "true");
            Matcher matcher = Pattern.compile("\\{\\{([a-z_.]+)\\|json\\}\\}")
                    .matcher(Files.readString(root.resolve("deploy/entry-settings.json")));
            return matcher.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1))));
        }

        boolean isReady() {
            try {
                return Client.get(ready, "/v1/ready") == 200;
            } catch (IOException unreachable) {
                return false;
            }
        }

        void awaitReady(long limitMillis) throws InterruptedException {
            long endMillis = millis() + limitMillis;
            while (!isReady()) {
                if (millis() > endMillis || !process.isAlive()) {
                    throw new IllegalStateException(name + " is not ready");
                }
                Thread.sleep(50);
            }
            log(name + " is ready");
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        String logText() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    /** Ends all processes and prints the result: 1 if the rule was broken, 0 if it held. */
    int finish(boolean broken, String summary) {
        log((broken ? "BROKEN: " : "held: ") + summary);
        System.out.println((broken ? "BROKEN: " : "held: ") + summary);
        return broken ? 1 : 0;
    }

    @Override
    public void close() {
        endProcesses();
        runners.forEach(Runner::close);
        store.close();
        record.close();
        if (System.getenv("KEEP") == null) {
            delete(folder);
        } else {
            System.out.println("kept " + folder);
        }
    }

    private synchronized void endProcesses() {
        closing = true;
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
                try {
                    entry.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static void delete(Path path) {
        try (var files = Files.walk(path)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // Only the temporary folder stays.
        }
    }

    /** A main program's body; exits with 2 if the case could not run. */
    interface Body {
        int run() throws Exception;
    }

    static void main(Body body) {
        int code;
        try {
            code = body.run();
        } catch (Throwable problem) {
            problem.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
