package review3;

import java.util.List;
import java.util.concurrent.Future;

/** All entries are killed, and start again; while streams run that began later, half of the entries are killed. */
final class StaleAnswers {

    private static final int ENTRIES = 8;
    private static final int STREAMS = 110;
    private static final long EVENT_MILLIS = 150;
    private static final long DOWN_MILLIS = 700;
    private static final long SECOND_LOSS_AFTER_MILLIS = 9_000;

    /** Entries of the second loss: half of them, the largest share on the pages being 0.6. */
    private static final int LOST_ENTRIES = 4;

    /** Clients come back once, spread evenly over this time, in which the lost entries start again. */
    private static final long SHORTEST_PAUSE_MILLIS = 2_500;

    private static final long LONGEST_PAUSE_MILLIS = 4_500;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, StaleAnswers::play);
    }

    private static long pauseMillis(int client) {
        return SHORTEST_PAUSE_MILLIS
                + client * 37 % STREAMS * (LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS) / STREAMS;
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, Site.EIGHT_OF_CORDILLERA_GROWN, ENTRIES, 6, EVENT_MILLIS)) {
            List<String> sessions = StreamCase.sessions(STREAMS);
            StreamCase.awaitAll(StreamCase.start(
                    deployment,
                    sessions.stream()
                            .map(session -> new StreamClient(deployment, session, "short"))
                            .toList(),
                    StaleAnswers::pauseMillis));
            if (trouble) {
                deployment.killEntries(deployment.entries);
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries(deployment.entries);
                Thread.sleep(deployment.site.contactMillis());
            }
            List<StreamClient> clients = sessions.stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(deployment, clients, StaleAnswers::pauseMillis);
            if (trouble) {
                Thread.sleep(SECOND_LOSS_AFTER_MILLIS);
                List<EntryProcess> lost = deployment.entries.subList(0, LOST_ENTRIES);
                deployment.killEntries(lost);
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries(lost);
            }
            StreamCase.awaitAll(ends);
            deployment.recordLogLines("stream taken up");
            return StreamCase.judgeOrder(record, clients);
        }
    }
}
