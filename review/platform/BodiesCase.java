import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Streams whose requests have bodies of half the size that the manifest allows, and a burst of them. */
final class BodiesCase {

    private static final int BODY_BYTES = Integer.getInteger("size", 2_000_000);
    private static final double PER_SECOND = Double.parseDouble(System.getProperty("rate", "15"));
    private static final double BURST = Double.parseDouble(System.getProperty("burst", "1.9"));
    private static final long BURST_MILLIS = Integer.getInteger("burstSeconds", 10) * 1_000L;
    private static final long ROUTE_TIMEOUT_MILLIS = 800;

    public static void main(String[] arguments) {
        Rig.main(() -> run(Path.of(arguments[0])));
    }

    /** A small plain request, sent with more time than its route gives. */
    record Call(long sentMillis, String entry, String attempt, Client.Answer answer) {}

    private static int run(Path caseFolder) throws Exception {
        try (Rig rig = new Rig(caseFolder)) {
            CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
            rig.store.write("op/config", Manifest.of(7));
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
            rig.awaitReady();
            Thread.sleep(3_000);
            List<Call> calls = new CopyOnWriteArrayList<>();
            List<Client.Answer> streams = new CopyOnWriteArrayList<>();
            List<Thread> threads = new ArrayList<>();
            long startMillis = Rig.millis();
            Thread small = Thread.ofVirtual().start(() -> {
                try {
                    for (int count = 0; Rig.millis() - startMillis < 35_000; count++) {
                        Rig.Entry entry = rig.entries.get(count % 3);
                        threads.add(Thread.ofVirtual().start(() -> calls.add(small(entry))));
                        Thread.sleep(25);
                    }
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            });
            int count = 0;
            while (Rig.millis() - startMillis < 22_000) {
                long at = Rig.millis() - startMillis;
                boolean burst = Rig.TROUBLE && at > 8_000 && at < 8_000 + BURST_MILLIS;
                Rig.Entry entry = rig.entries.get(count++ % 3);
                Thread.ofVirtual().start(() -> {
                    String attempt = StreamClient.newAttempt();
                    streams.add(Client.call(
                            entry.front,
                            Client.request(
                                    "POST",
                                    Manifest.STREAM + attempt,
                                    new byte[BODY_BYTES],
                                    "Attempt-Id", attempt,
                                    "Model", "m",
                                    "Token-Counts", "5200,2160",
                                    "Prompt-Prefix", "5c1e07a2:200," + attempt + ":5000",
                                    "Deadline-Ms", "14000"),
                            14_000,
                            3_600,
                            Integer.getInteger("upload", 3_000)));
                });
                Thread.sleep(Math.round(1_000 / (PER_SECOND * (burst ? BURST : 1))));
            }
            small.join();
            for (Thread thread : threads) {
                thread.join(5_000);
            }
            int late = 0;
            int over = 0;
            for (Call call : calls) {
                boolean longer = call.answer.tookMillis >= ROUTE_TIMEOUT_MILLIS;
                boolean unanswered = call.answer.tookMillis > ROUTE_TIMEOUT_MILLIS + 500;
                over += longer ? 1 : 0;
                late += unanswered ? 1 : 0;
                rig.log("sent at " + (call.sentMillis - startMillis) + " to " + call.entry + ": status " + call.answer.status + " "
                        + call.answer.problem + ", took " + call.answer.tookMillis + " ms");
            }
            for (Client.Answer answer : streams) {
                rig.log("stream: status " + answer.status + ", complete " + answer.complete + " " + answer.problem + ", took "
                        + answer.tookMillis + " ms");
            }
            long served = streams.stream().filter(answer -> answer.status == 200 && answer.complete).count();
            for (Rig.Entry entry : rig.entries) {
                rig.log(entry.name + " alive " + entry.process.isAlive() + ", ready " + entry.isReady());
            }
            return rig.finish(
                    late >= 8 && 4 * late > over,
                    calls.size() + " small calls, " + over + " lasted longer than the route's timeout, " + late
                            + " of them had no final answer half a second later; " + streams.size() + " streams, " + served
                            + " complete");
        }
    }

    private static Call small(Rig.Entry entry) {
        String attempt = StreamClient.newAttempt();
        return new Call(
                Rig.millis(),
                entry.name,
                attempt,
                Client.call(
                        entry.front,
                        Client.request("POST", Manifest.ORDER + attempt, new byte[600], "Attempt-Id", attempt, "Deadline-Ms", "1500"),
                        1_500,
                        1_500));
    }
}
