import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A resumable route is split between a model service and a plain one; channels of clients are reset. */
final class ResumeCase {

    public static void main(String[] arguments) {
        Rig.main(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path caseFolder) throws Exception {
        List<Link> links = new ArrayList<>();
        try (Rig rig = new Rig(caseFolder)) {
            CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
            rig.store.write(
                    "op/config",
                    Manifest.of(
                            7,
                            "\"traffic_split\":[{\"service\":\"report-model\",\"weight\":50},"
                                    + "{\"service\":\"ledger-app\",\"weight\":50}]"));
            for (int index = 0; index < 3; index++) {
                rig.add(new Runner(
                        rig, "i-plain-" + index, "ledger-app", Rig.ZONES[index % 3], null, "v1", "127.0.101." + (index + 1), runs));
            }
            for (int index = 0; index < 10; index++) {
                String stage = index < 3 ? "prefill" : "decode";
                rig.add(new Runner(
                        rig, "i-model-" + index, "report-model", Rig.ZONES[index % 3], stage, "v1", "127.0.100." + (index + 1), runs));
            }
            rig.startEntries(3);
            for (Rig.Entry entry : rig.entries) {
                links.add(new Link("127.0.150.1", entry.front, 40_000));
            }
            rig.awaitReady();
            Thread.sleep(3_000);
            List<InetSocketAddress> addresses = links.stream().map(Link::address).toList();
            List<StreamClient> clients = new CopyOnWriteArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long startMillis = Rig.millis();
            long nextReset = 5_000;
            while (Rig.millis() - startMillis < 32_000) {
                StreamClient client = new StreamClient(70);
                clients.add(client);
                threads.add(Thread.ofVirtual().start(() -> {
                    try {
                        client.run(addresses, Manifest.RESUMABLE, 14_000, 5_200, 2);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                }));
                Thread.sleep(120);
                if (Rig.TROUBLE && Rig.millis() - startMillis > nextReset) {
                    nextReset += 1_000;
                    int entry = clients.size() % 3;
                    rig.log("channels of " + rig.entries.get(entry).name + " are reset: " + links.get(entry).reset(0.55));
                }
            }
            for (Thread thread : threads) {
                thread.join(16_000);
            }
            int disordered = 0;
            int complete = 0;
            int takenUp = 0;
            for (StreamClient client : clients) {
                disordered += client.inOrder() ? 0 : 1;
                complete += client.complete ? 1 : 0;
                takenUp += client.attempts.size() > 1 && !client.events.isEmpty() ? 1 : 0;
                rig.log((client.inOrder() ? "" : "OUT OF ORDER ") + "stream, events " + client.events.size() + client.trace
                        + (client.inOrder() ? "" : " numbers " + client.events.stream().map(StreamClient.Event::number).toList()));
            }
            return rig.finish(
                    disordered > 0,
                    clients.size() + " streams, " + complete + " complete, " + takenUp + " with two attempts, " + disordered
                            + " in which a piece is missing or comes twice");
        } finally {
            for (Link link : links) {
                link.close();
            }
        }
    }
}
