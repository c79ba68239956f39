import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients keep their channels open for many requests; without the trouble they open a new one for each. */
final class KeptChannelsCase {

    private static final int CLIENTS = Integer.getInteger("clients", 30);
    private static final int BODY_BYTES = Integer.getInteger("size", 3_600);
    private static final long PAUSE_MILLIS = Integer.getInteger("pause", 250);
    private static final long LENGTH_MILLIS = Integer.getInteger("seconds", 95) * 1_000L;
    private static final long ROUTE_TIMEOUT_MILLIS = 800;

    record Call(long sentMillis, int status, long tookMillis, String problem) {}

    public static void main(String[] arguments) {
        Rig.main(() -> run(Path.of(arguments[0])));
    }

    private static int run(Path caseFolder) throws Exception {
        try (Rig rig = new Rig(caseFolder)) {
            CopyOnWriteArrayList<Runner.Run> runs = new CopyOnWriteArrayList<>();
            rig.store.write("op/config", Manifest.of(7));
            for (int index = 0; index < 3; index++) {
                Runner runner = rig.add(new Runner(
                        rig, "i-plain-" + index, "ledger-app", Rig.ZONES[index % 3], null, "v1", "127.0.101." + (index + 1), runs));
                runner.recordsRuns = false;
                runner.answerBytes = 4_800;
            }
            rig.startEntries(3);
            rig.awaitReady();
            Thread.sleep(3_000);
            ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
            List<Thread> threads = new ArrayList<>();
            long startMillis = Rig.millis();
            for (int client = 0; client < CLIENTS; client++) {
                threads.add(Thread.ofVirtual().start(() -> client(rig.entries.get(0), startMillis, calls)));
                Thread.sleep(2);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            long over = calls.stream().filter(call -> call.tookMillis >= ROUTE_TIMEOUT_MILLIS).count();
            long late = calls.stream()
                    .filter(call -> call.tookMillis > ROUTE_TIMEOUT_MILLIS + 500)
                    .count();
            int[] sent = new int[(int) (LENGTH_MILLIS / 1_000) + 10];
            int[] served = new int[sent.length];
            long[] slowest = new long[sent.length];
            for (Call call : calls) {
                int second = (int) ((call.sentMillis - startMillis) / 1_000);
                sent[second]++;
                served[second] += call.status == 200 ? 1 : 0;
                slowest[second] = Math.max(slowest[second], call.tookMillis);
            }
            for (int second = 0; second < sent.length; second++) {
                rig.log("second " + second + ": sent " + sent[second] + ", served " + served[second] + ", slowest "
                        + slowest[second] + " ms");
            }
            calls.stream()
                    .filter(call -> call.status != 200)
                    .forEach(call -> rig.log("sent at " + (call.sentMillis - startMillis) + ": status " + call.status + " "
                            + call.problem + ", took " + call.tookMillis + " ms"));
            rig.log("alive " + rig.entries.get(0).process.isAlive() + ", ready " + rig.entries.get(0).isReady());
            return rig.finish(
                    late >= 8 && 4 * late > over,
                    calls.size() + " requests, " + over + " lasted longer than the route's timeout, " + late
                            + " of them had no final answer half a second later");
        }
    }

    private static void client(Rig.Entry entry, long startMillis, ConcurrentLinkedQueue<Call> calls) {
        Socket socket = null;
        InputStream input = null;
        while (Rig.millis() - startMillis < LENGTH_MILLIS) {
            long sentMillis = Rig.millis();
            int status = 0;
            String problem = "";
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(entry.front, 1_000);
                    socket.setSoTimeout(1_500);
                    input = new BufferedInputStream(socket.getInputStream());
                }
                String attempt = StreamClient.newAttempt();
                socket.getOutputStream()
                        .write(Client.request(
                                "POST", Manifest.ORDER + attempt, new byte[BODY_BYTES], "Attempt-Id", attempt, "Deadline-Ms", "1500"));
                Http.Message head = Http.readHead(input);
                if (head == null) {
                    throw new IOException("closed without an answer");
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Http.readBody(head, input, true, body::writeBytes);
                status = head.status();
                if (!Rig.TROUBLE || "close".equalsIgnoreCase(head.header("connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (IOException failed) {
                problem = failed.toString();
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // Closed already.
                }
                socket = null;
            }
            calls.add(new Call(sentMillis, status, Rig.millis() - sentMillis, problem));
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
