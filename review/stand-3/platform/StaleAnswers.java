package review3;

import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

/** All entries are killed; later, channels of clients to some entries are reset, a few times. */
final class StaleAnswers {

    private static final int ENTRIES = 8;
    private static final int STREAMS = 140;
    private static final long EVENT_MILLIS = 150;
    private static final long PAUSE_MILLIS = 50;
    private static final long DOWN_MILLIS = 1_000;
    private static final int STRIKES = 6;
    private static final long FIRST_STRIKE_MILLIS = 7_000;
    private static final long STRIKE_INTERVAL_MILLIS = 1_500;

    /** Share of the entries whose channels are reset, and share of their channels. */
    private static final int STRUCK_ENTRIES = 3;

    private static final double STRUCK_SHARE = 0.65;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, StaleAnswers::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, ENTRIES, 4, EVENT_MILLIS)) {
            List<String> sessions = StreamCase.sessions(STREAMS);
            StreamCase.awaitAll(StreamCase.start(
                    sessions.stream()
                            .map(session -> new StreamClient(deployment, session, "short"))
                            .toList(),
                    ENTRIES,
                    number -> PAUSE_MILLIS));
            if (trouble) {
                deployment.killEntries();
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries();
                Thread.sleep(Deployment.CONTACT_MILLIS);
            }
            List<StreamClient> clients = sessions.stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(clients, ENTRIES, number -> PAUSE_MILLIS);
            if (trouble) {
                Thread.sleep(FIRST_STRIKE_MILLIS);
                for (int strike = 0; strike < STRIKES; strike++) {
                    strike(record, deployment, clients, new Random(strike));
                    Thread.sleep(STRIKE_INTERVAL_MILLIS);
                }
            }
            StreamCase.awaitAll(ends);
            deployment.recordLogLines("stream taken up");
            return StreamCase.judgeOrder(record, clients);
        }
    }

    private static void strike(Record record, Deployment deployment, List<StreamClient> clients, Random random) {
        List<EntryProcess> struck = IntStream.range(0, STRUCK_ENTRIES)
                .mapToObj(index -> deployment.entries.get((random.nextInt(ENTRIES) + index) % ENTRIES))
                .distinct()
                .toList();
        long resets = clients.stream()
                .filter(client -> random.nextDouble() < STRUCK_SHARE)
                .filter(client -> struck.stream().anyMatch(client::reset))
                .count();
        record.write(resets + " channels to " + struck.stream().map(entry -> entry.name).toList() + " are reset");
    }
}
