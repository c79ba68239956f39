import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Runners crash and come back under their ids with another software version while the store is down. */
final class UpgradeCase {

    public static void main(String[] arguments) {
        Rig.main(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path caseFolder) throws Exception {
        try (Rig rig = new Rig(caseFolder)) {
            CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
            rig.store.write("op/config", Manifest.of(7));
            List<Runner> decode = new ArrayList<>();
            for (int index = 0; index < 10; index++) {
                String stage = index < 3 ? "prefill" : "decode";
                Runner runner = rig.add(new Runner(
                        rig, "i-model-" + index, "report-model", Rig.ZONES[index % 3], stage, "v1", "127.0.100." + (index + 1), runs));
                if (index >= 3) {
                    decode.add(runner);
                }
            }
            rig.startEntries(3);
            rig.awaitReady();
            Thread.sleep(3_000);
            List<StreamClient> clients = new CopyOnWriteArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long startMillis = Rig.millis();
            int perSecond = Integer.getInteger("rate", 10);
            boolean outage = Rig.TROUBLE;
            Thread trouble = Thread.ofVirtual().start(() -> {
                try {
                    if (!outage) {
                        return;
                    }
                    Thread.sleep(5_000);
                    rig.log("the store is down");
                    rig.store.mode(Store.Mode.RESET);
                    Thread.sleep(500);
                    decode.get(0).crash();
                    decode.get(1).crash();
                    Thread.sleep(2_000);
                    decode.get(0).restart("v2");
                    decode.get(1).restart("v2");
                    Thread.sleep(5_500);
                    rig.store.mode(Store.Mode.SERVE);
                    rig.log("the store is back");
                } catch (Exception problem) {
                    rig.log("trouble failed: " + problem);
                }
            });
            while (Rig.millis() - startMillis < 20_000) {
                StreamClient client = new StreamClient(70);
                clients.add(client);
                threads.add(Thread.ofVirtual().start(() -> {
                    try {
                        client.run(rig.entries.stream().map(entry -> entry.front).toList(), Manifest.RESUMABLE, 14_000, 5_200, 2);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                }));
                Thread.sleep(1_000 / perSecond);
            }
            for (Thread thread : threads) {
                thread.join(16_000);
            }
            trouble.join();
            int mixed = 0;
            int disordered = 0;
            int complete = 0;
            for (StreamClient client : clients) {
                boolean mixes = client.versions().size() > 1;
                mixed += mixes ? 1 : 0;
                disordered += client.inOrder() ? 0 : 1;
                complete += client.complete ? 1 : 0;
                rig.log((mixes ? "MIXED " : "") + "stream, events " + client.events.size() + ", versions " + client.versions()
                        + client.trace
                        + (client.inOrder() ? "" : " " + client.events.stream().map(e -> e.number() + ":" + e.runner()).toList()));
            }
            return rig.finish(
                    mixed > 2 || disordered > 0,
                    clients.size() + " streams, " + complete + " complete, " + mixed + " with events of two versions, "
                            + disordered + " out of order");
        }
    }
}
