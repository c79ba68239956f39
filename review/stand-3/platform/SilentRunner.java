package review3;

import java.util.List;
import java.util.concurrent.Future;

/** All entries are killed; a sound runner is silent for a second when they ask which prompts it holds. */
final class SilentRunner {

    private static final int STREAMS = 60;
    /** Tries of a client, the first one included, and the pause between two. */
    private static final int TRIES = 5;

    private static final long PAUSE_MILLIS = 1_000;
    private static final long TROUBLE_AFTER_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final long SILENT_MILLIS = 1_000;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, SilentRunner::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 2)) {
            List<String> sessions = StreamCase.sessions(STREAMS);
            StreamCase.awaitAll(StreamCase.start(
                    sessions.stream()
                            .map(session -> new StreamClient(deployment, session, "short"))
                            .toList(),
                    3,
                    40,
                    2,
                    200));
            List<StreamClient> clients = sessions.stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(clients, 3, 40, TRIES, PAUSE_MILLIS);
            if (trouble) {
                Thread.sleep(TROUBLE_AFTER_MILLIS);
                deployment.killEntries();
                deployment.runners.getFirst().fallSilentWhenListed(SILENT_MILLIS);
                Thread.sleep(DOWN_MILLIS);
                deployment.startEntries();
            }
            StreamCase.awaitAll(ends);
            deployment.recordLogLines("stream taken up");
            return StreamCase.judgeOrder(record, clients);
        }
    }
}
