package review3;

import java.util.List;
import java.util.concurrent.Future;

/** All entries are killed; a sound runner is silent for a second when they ask which prompts it holds. */
final class SilentRunner {

    private static final int STREAMS = 66;
    private static final long EVENT_MILLIS = 150;

    /** Clients come back once, spread evenly over this time. */
    private static final long SHORTEST_PAUSE_MILLIS = 2_500;

    private static final long LONGEST_PAUSE_MILLIS = 6_500;

    private static final long TROUBLE_AFTER_MILLIS = 10_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final long SILENT_MILLIS = 1_000;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, SilentRunner::play);
    }

    private static long pauseMillis(int client) {
        return SHORTEST_PAUSE_MILLIS
                + client * 37 % STREAMS * (LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS) / STREAMS;
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, Site.CORDILLERA, 3, 3, EVENT_MILLIS)) {
            List<String> sessions = StreamCase.sessions(STREAMS);
            StreamCase.awaitAll(StreamCase.start(
                    deployment,
                    sessions.stream()
                            .map(session -> new StreamClient(deployment, session, "short"))
                            .toList(),
                    number -> SHORTEST_PAUSE_MILLIS));
            List<StreamClient> clients = sessions.stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(deployment, clients, SilentRunner::pauseMillis);
            if (trouble) {
                Thread.sleep(TROUBLE_AFTER_MILLIS);
                deployment.killEntries(deployment.entries);
                deployment.runners.getFirst().fallSilentWhenListed(SILENT_MILLIS);
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries(deployment.entries);
            }
            StreamCase.awaitAll(ends);
            deployment.recordLogLines("stream taken up");
            return StreamCase.judgeOrder(record, clients);
        }
    }
}
