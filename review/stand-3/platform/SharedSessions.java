package review3;

import java.util.List;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

/** All entries are killed; the streams of sessions whose former request ran at another version are refused. */
final class SharedSessions {

    private static final int STREAMS = 48;
    private static final int NEW_STREAMS = 24;
    private static final long TROUBLE_AFTER_MILLIS = 7_000;
    private static final long DOWN_MILLIS = 1_000;

    private static final long EVENT_MILLIS = 100;

    /** Requests of each session before the one that is broken off. */
    private static final int FORMER_REQUESTS = 3;

    /** Clients come back once, spread evenly over this time. */
    private static final long SHORTEST_PAUSE_MILLIS = 1_000;

    private static final long LONGEST_PAUSE_MILLIS = 8_000;

    /** Number of streams from which on the rule counts. */
    private static final int COUNTED_FROM = 12;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, SharedSessions::play);
    }

    private static long pauseMillis(int client) {
        return SHORTEST_PAUSE_MILLIS
                + client * 37 % STREAMS * (LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS) / STREAMS;
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, Site.CORDILLERA, 3, 3, EVENT_MILLIS)) {
            List<String> sessions = StreamCase.sessions(STREAMS);
            for (int turn = 0; turn < FORMER_REQUESTS; turn++) {
                StreamCase.awaitAll(StreamCase.start(
                        deployment,
                        sessions.stream()
                                .map(session -> new StreamClient(deployment, session, "short"))
                                .toList(),
                        number -> SHORTEST_PAUSE_MILLIS));
            }
            List<StreamClient> clients = sessions.stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(deployment, clients, SharedSessions::pauseMillis);
            if (trouble) {
                Thread.sleep(TROUBLE_AFTER_MILLIS);
                deployment.killEntries(deployment.entries);
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries(deployment.entries);
            } else {
                Thread.sleep(TROUBLE_AFTER_MILLIS + DOWN_MILLIS);
            }
            long inTouchMillis = deployment.startedMillis() + deployment.site.contactMillis();
            Thread.sleep(Math.max(0, inTouchMillis - record.millis()));
            record.write("all entries are in touch");
            List<StreamClient> begun = IntStream.range(0, NEW_STREAMS)
                    .mapToObj(index -> new StreamClient(deployment, String.format("9e30%04x", index), "short"))
                    .toList();
            StreamCase.awaitAll(StreamCase.start(deployment, begun, number -> SHORTEST_PAUSE_MILLIS));
            StreamCase.awaitAll(ends);
            List<StreamClient> takenUp = clients.stream()
                    .filter(client ->
                            client.takenUp.stream().anyMatch(attempt -> attempt.atMillis() >= inTouchMillis))
                    .toList();
            long wentOn = takenUp.stream()
                    .filter(client -> client.takenUp.stream()
                            .anyMatch(attempt -> attempt.atMillis() >= inTouchMillis && attempt.events() > 0))
                    .count();
            long newBegun = begun.stream()
                    .filter(client -> !client.events.isEmpty())
                    .count();
            deployment.recordLogLines("no entry knows the version");
            record.print(takenUp.size() + " streams were taken up at entries in touch, " + wentOn + " went on; "
                    + newBegun + " of " + NEW_STREAMS + " new streams began; of all " + STREAMS + " streams "
                    + clients.stream().filter(StreamClient::isComplete).count() + " are complete");
            double shareTakenUp = takenUp.isEmpty() ? 1 : (double) wentOn / takenUp.size();
            double shareNew = (double) newBegun / NEW_STREAMS;
            return takenUp.size() >= COUNTED_FROM && shareTakenUp < shareNew / 2;
        }
    }
}
