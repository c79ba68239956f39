package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A client with one stream. It takes the stream up again after a broken channel, as the pages say: on a new channel,
 * behind its last event, and names the attempt that brought its first event.
 */
final class StreamClient {

    /** Size of a prompt, of the part that all share, and largest size of an answer, as on the sheet of the site. */
    private static final int PROMPT_TOKENS = 5_200;

    private static final int SHARED_TOKENS = 200;
    static final int OUTPUT_TOKENS = 130;

    /** Memory that a request takes at most. */
    static final int TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS;

    /** A client doesn't come back with less than this time left, in which no answer could begin. */
    private static final long SHORTEST_TRY_MILLIS = 1_000;

    /** A client leaves a stream after four times the objective without an event. */
    private static final int GAP_MILLIS = 3_600;

    final String session;
    final List<Integer> events = new ArrayList<>();
    final List<String> versions = new ArrayList<>();
    final List<String> outcomes = new ArrayList<>();

    /** The attempts that took the stream up again. */
    final List<TakenUp> takenUp = new ArrayList<>();

    /**
     * One attempt that took the stream up again.
     *
     * @param atMillis when it was sent, by the clock of the record
     * @param events number of events that it brought
     */
    record TakenUp(long atMillis, int events) {}

    private final Deployment deployment;
    private final String kind;
    private String firstAttempt;
    private long endMillis;
    private volatile boolean complete;

    /** Creates a client; the session is the last part of its prompt, and kind is "short" or "long". */
    StreamClient(Deployment deployment, String session, String kind) {
        this.deployment = deployment;
        this.session = session;
        this.kind = kind;
    }

    /** Sends the request, and again while its time lasts, until the stream is complete or tries are used up. */
    void run(int firstEntry, int maximumTries, long pauseMillis) throws InterruptedException {
        endMillis = System.currentTimeMillis() + deployment.site.budgetMillis();
        int number = firstEntry;
        while (!complete && outcomes.size() < maximumTries && System.currentTimeMillis() < endMillis) {
            if (!outcomes.isEmpty()) {
                Thread.sleep(pauseMillis);
                if (endMillis - System.currentTimeMillis() < SHORTEST_TRY_MILLIS) {
                    return;
                }
                number += 1 + ThreadLocalRandom.current().nextInt(deployment.entries.size() - 1);
            }
            attempt(deployment.entries.get(number % deployment.entries.size()));
        }
    }

    private void attempt(EntryProcess chosen) {
        String attempt = String.format("%016x", ThreadLocalRandom.current().nextLong());
        int before = events.size();
        long atMillis = deployment.record.millis();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(chosen.ip, chosen.callerPort), 1_000);
            socket.setSoTimeout(GAP_MILLIS);
            String request = request(attempt);
            deployment.record.write("client " + session + " sends " + attempt + " to " + chosen.name
                    + (before == 0 ? "" : ", resumes " + firstAttempt + " behind event " + events.getLast()));
            socket.getOutputStream().write(Bytes.join(request, new byte[0]));
            outcome = readAnswer(new BufferedInputStream(socket.getInputStream()), attempt);
        } catch (IOException broken) {
            outcome = "no channel";
        }
        outcomes.add(outcome);
        if (before > 0 && !outcome.equals("no channel")) {
            takenUp.add(new TakenUp(atMillis, events.size() - before));
        }
        deployment.record.write("client " + session + " got " + outcome + " from " + chosen.name + " on " + attempt
                + ", events " + (events.size() - before) + " of versions " + distinctVersions());
    }

    private String request(String attempt) {
        String body = kind + " " + "p".repeat(500);
        String resumed = events.isEmpty()
                ? ""
                : "Last-Event-Id: " + events.getLast() + "\r\nResumes: " + firstAttempt + "\r\n";
        return "POST /gen/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt
                + "\r\nModel: m\r\nToken-Counts: " + PROMPT_TOKENS + "," + OUTPUT_TOKENS
                + "\r\nPrompt-Prefix: aaaa:" + SHARED_TOKENS + "," + session + ":"
                + (PROMPT_TOKENS - SHARED_TOKENS) + "\r\n" + resumed
                + "Deadline-Ms: " + Math.max(1, endMillis - System.currentTimeMillis()) + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private String readAnswer(InputStream in, String attempt) throws IOException {
        HttpMessage answer = HttpMessage.readHead(in);
        if (answer == null) {
            return "closed channel";
        }
        if (answer.status() != 200) {
            return String.valueOf(answer.status());
        }
        StringBuilder text = new StringBuilder();
        answer.readBody(in, part -> {
            text.append(new String(part));
            int end = text.indexOf("\n\n");
            while (end >= 0) {
                addEvent(text.substring(0, end), attempt);
                text.delete(0, end + 2);
                end = text.indexOf("\n\n");
            }
        });
        complete = answer.complete;
        return complete ? "complete stream" : "broken stream";
    }

    private void addEvent(String event, String attempt) {
        if (events.isEmpty()) {
            firstAttempt = attempt;
        }
        for (String line : event.split("\n")) {
            if (line.startsWith("id: ")) {
                events.add(Integer.parseInt(line.substring(4)));
            } else if (line.startsWith("data: ")) {
                versions.add(line.substring(6).split(" ")[0]);
            }
        }
    }

    boolean isComplete() {
        return complete;
    }

    Set<String> distinctVersions() {
        return new TreeSet<>(versions);
    }

    /** Returns whether each event is the one behind the event before it, from 1 on. */
    boolean isInOrder() {
        for (int index = 0; index < events.size(); index++) {
            if (events.get(index) != index + 1) {
                return false;
            }
        }
        return true;
    }
}
