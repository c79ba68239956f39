import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Entries are stopped by SIGTERM one after the other, and start again, while streams begin. */
final class DrainCase {

    private static final long GRACE_MILLIS = 8_000;
    private static final long EVENT_MILLIS = 120;

    private final Rig rig;

    /** Readiness checks in a row that an entry has not answered with 200; after two it gets no new channel. */
    private final Map<Rig.Entry, Integer> misses = new ConcurrentHashMap<>();

    private DrainCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(() -> {
            try (Rig rig = new Rig(Path.of(arguments[0]))) {
                return new DrainCase(rig).run();
            }
        });
    }

    private int run() throws Exception {
        CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
        rig.store.write("op/config", Manifest.of(7));
        for (int index = 0; index < 10; index++) {
            Runner runner = rig.add(new Runner(
                    rig,
                    "i-model-" + index,
                    "report-model",
                    Rig.ZONES[index % 3],
                    index < 3 ? "prefill" : "decode",
                    "v1",
                    "127.0.100." + (index + 1),
                    runs));
            runner.eventMillis = EVENT_MILLIS;
        }
        rig.startEntries(3);
        rig.awaitReady();
        Thread.sleep(3_000);
        Thread platform = Thread.ofVirtual().start(this::checkReadiness);
        List<StreamClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long startMillis = Rig.millis();
        Thread roll = Thread.ofVirtual().start(this::roll);
        while (Rig.millis() - startMillis < 42_000) {
            List<InetSocketAddress> inRotation = rig.entries.stream()
                    .filter(entry -> misses.getOrDefault(entry, 0) < 2)
                    .map(entry -> entry.front)
                    .toList();
            StreamClient client = new StreamClient(70);
            clients.add(client);
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    client.run(inRotation, Manifest.STREAM, 14_000, 5_200, 1);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }));
            Thread.sleep(220);
        }
        roll.join();
        for (Thread thread : threads) {
            thread.join(16_000);
        }
        platform.interrupt();
        int early = 0;
        int complete = 0;
        for (StreamClient client : clients) {
            boolean endsEarly = client.complete && client.events.size() < client.pieces;
            early += endsEarly ? 1 : 0;
            complete += client.complete && !endsEarly ? 1 : 0;
            rig.log((endsEarly ? "ENDS EARLY AS COMPLETE " : "") + "stream, events " + client.events.size() + client.trace);
        }
        for (Runner.Run run : runs) {
            rig.log("run " + run.attempt + " at " + run.runner + " from " + run.startMillis + " to " + run.endMillis + ": "
                    + run.end);
        }
        return rig.finish(
                early > 0,
                clients.size() + " streams, " + complete + " complete, " + early + " ended as complete before the last event");
    }

    /** Asks each entry once a second, as the platform does. */
    private void checkReadiness() {
        try {
            while (true) {
                for (Rig.Entry entry : rig.entries) {
                    misses.merge(entry, 1, (known, one) -> entry.isReady() ? 0 : known + one);
                }
                Thread.sleep(1_000);
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends SIGTERM to each entry in turn, SIGKILL after the grace time if it has not ended, and starts it again. */
    private void roll() {
        try {
            Thread.sleep(4_000);
            for (Rig.Entry entry : rig.entries) {
                if (!Rig.TROUBLE) {
                    return;
                }
                entry.signal("TERM");
                if (!entry.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                    entry.signal("KILL");
                    entry.process.waitFor();
                }
                rig.log(entry.name + " has ended, status " + entry.process.exitValue());
                Thread.sleep(500);
                entry.start();
                entry.awaitReady(30_000);
                Thread.sleep(2_500);
            }
        } catch (Exception problem) {
            rig.log("the roll failed: " + problem);
        }
    }
}
