package review3;

import java.util.List;
import java.util.concurrent.Future;

/** A runner is replaced by one of another software version that has its identifier and its address. */
final class UpgradeInPlace {

    private static final int STREAMS = 140;
    private static final long INTERVAL_MILLIS = 80;
    private static final long TROUBLE_AFTER_MILLIS = 5_000;

    /** Time until the new process serves. */
    private static final long DOWN_MILLIS = 1_000;

    /** Time from then until it writes to the store, below the interval of its writes. */
    private static final long UNREGISTERED_MILLIS = 1_000;

    public static void main(String[] arguments) {
        StreamCase.main(arguments, UpgradeInPlace::play);
    }

    private static boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 2, 2)) {
            List<StreamClient> clients = StreamCase.sessions(STREAMS).stream()
                    .map(session -> new StreamClient(deployment, session, "long"))
                    .toList();
            List<Future<?>> ends = StreamCase.start(clients, 2, INTERVAL_MILLIS, 4, 200);
            if (trouble) {
                Thread.sleep(TROUBLE_AFTER_MILLIS);
                ModelRunner upgraded = deployment.runners.getFirst();
                upgraded.stop();
                Thread.sleep(DOWN_MILLIS);
                upgraded.start("2.0");
                Thread.sleep(UNREGISTERED_MILLIS);
                upgraded.register();
            }
            StreamCase.awaitAll(ends);
            deployment.recordLogLines("the instance runs another version now");
            return StreamCase.judgeOrder(record, clients);
        }
    }
}
