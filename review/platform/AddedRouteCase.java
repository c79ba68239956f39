import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A manifest adds a streaming route of a service without an engine. */
final class AddedRouteCase {

    public static void main(String[] arguments) {
        Rig.main(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path caseFolder) throws Exception {
        try (Rig rig = new Rig(caseFolder)) {
            CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
            rig.store.write("op/config", Manifest.of(7));
            for (int index = 0; index < 13; index++) {
                boolean plain = index >= 10;
                Runner runner = rig.add(new Runner(
                        rig,
                        "i-" + index,
                        plain ? "ledger-app" : "report-model",
                        Rig.ZONES[index % 3],
                        plain ? null : index < 3 ? "prefill" : "decode",
                        "v1",
                        "127.0.100." + (index + 1),
                        runs));
                runner.eventMillis = 60;
            }
            rig.startEntries(3);
            rig.awaitReady();
            Thread.sleep(3_000);
            if (Rig.TROUBLE) {
                rig.log("manifest 9, accepted: " + rig.store.write("op/config", Manifest.withAddedRoute(9)));
            }
            Thread.sleep(5_000);
            List<InetSocketAddress> addresses = rig.entries.stream().map(entry -> entry.front).toList();
            List<StreamClient> first = new ArrayList<>();
            List<StreamClient> added = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long startMillis = Rig.millis();
            while (Rig.millis() - startMillis < 15_000) {
                first.add(stream(addresses, Manifest.STREAM, threads));
                if (Rig.TROUBLE) {
                    added.add(stream(addresses, Manifest.ADDED, threads));
                }
                Thread.sleep(400);
            }
            for (Thread thread : threads) {
                thread.join(16_000);
            }
            for (StreamClient client : first) {
                rig.log("first route: events " + client.events.size() + client.trace);
            }
            for (StreamClient client : added) {
                rig.log("added route: events " + client.events.size() + client.trace);
            }
            for (Runner.Run run : runs) {
                rig.log("run " + run.attempt + " at " + run.runner + ", " + run.target + ", " + run.startMillis + " to "
                        + run.endMillis + ": " + run.end);
            }
            long firstServed = first.stream().filter(client -> client.complete).count();
            long addedServed = added.stream().filter(client -> client.complete).count();
            boolean broken = added.size() >= 20
                    && 4.0 * addedServed / added.size() < (double) firstServed / first.size();
            return rig.finish(
                    broken,
                    "first routes: " + firstServed + " of " + first.size() + " streams served; added route: " + addedServed
                            + " of " + added.size());
        }
    }

    private static StreamClient stream(List<InetSocketAddress> addresses, String route, List<Thread> threads) {
        StreamClient client = new StreamClient(70);
        threads.add(Thread.ofVirtual().start(() -> {
            try {
                client.run(addresses, route, 14_000, 5_200, 1);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }));
        return client;
    }
}
