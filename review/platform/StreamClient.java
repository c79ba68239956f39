import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** One client's stream over all its attempts: it takes the stream up again where that is allowed. */
final class StreamClient {

    /** An event as the client has it: its number, and what its runner wrote into it. */
    record Event(long number, String body, String runner) {}

    final List<Event> events = new ArrayList<>();
    final List<String> attempts = new ArrayList<>();
    final long pieces;
    boolean complete;
    String trace = "";

    StreamClient(long pieces) {
        this.pieces = pieces;
    }

    static String newAttempt() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Runs the request at one entry, and once more at another one if the stream breaks off. */
    void run(List<InetSocketAddress> entries, String route, long budgetMillis, int promptTokens, int tries)
            throws InterruptedException {
        byte[] body = newAttempt().getBytes(StandardCharsets.US_ASCII);
        String path = route + newAttempt().substring(0, 6);
        String first = null;
        long startMillis = Rig.millis();
        int entry = ThreadLocalRandom.current().nextInt(entries.size());
        String part = Long.toHexString(ThreadLocalRandom.current().nextInt() & 0xffffffffL);
        for (int attempt = 0; attempt < tries && !complete; attempt++) {
            long leftMillis = budgetMillis - (Rig.millis() - startMillis);
            if (leftMillis < 200) {
                return;
            }
            String id = newAttempt();
            attempts.add(id);
            List<String> headers = new ArrayList<>(List.of(
                    "Attempt-Id", id,
                    "Model", "m",
                    "Token-Counts", promptTokens + "," + pieces * Runner.STRIDE,
                    "Prompt-Prefix", "5c1e07a2:200," + part + ":" + (promptTokens - 200),
                    "Deadline-Ms", String.valueOf(leftMillis)));
            if (!events.isEmpty()) {
                headers.addAll(List.of("Last-Event-Id", String.valueOf(events.getLast().number), "Resumes", first));
            }
            int before = events.size();
            InetSocketAddress address = entries.get((entry + attempt) % entries.size());
            Client.Answer answer = Client.call(
                    address,
                    Client.request("POST", path, body, headers.toArray(String[]::new)),
                    leftMillis,
                    3_600);
            if (answer.status == 200) {
                parse(answer.text());
                complete = answer.complete;
                if (first == null && events.size() > before) {
                    first = id;
                }
            }
            trace += " [" + id + " at " + Http.text(address) + ": " + answer.status + ", events " + (events.size() - before)
                    + (answer.complete ? ", complete" : ", " + answer.problem) + framing(answer) + "]";
            if (answer.status == 503 || answer.status == 429) {
                String after = answer.head.header("Retry-After");
                Thread.sleep(after == null ? 50 : Math.min(leftMillis / 3, Math.round(1_000 * Double.parseDouble(after))));
            }
        }
    }

    /** Returns how the end of an answer is told, as its head says. */
    private static String framing(Client.Answer answer) {
        if (answer.head == null) {
            return "";
        }
        return ", transfer-encoding " + answer.head.header("transfer-encoding") + ", content-length "
                + answer.head.header("content-length") + ", connection " + answer.head.header("connection");
    }

    private void parse(String text) {
        for (String event : text.split("\n\n")) {
            if (event.startsWith("id: ") && event.contains("\ndata: ")) {
                String[] words = event.substring(event.indexOf("\ndata: ") + 7).split("\n")[0].split(" ");
                if (words.length == 3) {
                    events.add(new Event(
                            Long.parseLong(event.substring(4, event.indexOf('\n')).trim()), words[0], words[2]));
                }
            }
        }
    }

    /** Returns the software versions of the runners that made the events. */
    java.util.Set<String> versions() {
        java.util.Set<String> versions = new java.util.TreeSet<>();
        events.forEach(event -> versions.add(event.runner.split("/")[2]));
        return versions;
    }

    /** Returns whether the events are numbered 1, 2, 3 and so on, to the last one if the stream is complete. */
    boolean inOrder() {
        for (int index = 0; index < events.size(); index++) {
            if (events.get(index).number != index + 1) {
                return false;
            }
        }
        return !complete || events.size() == pieces;
    }
}
