import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * Streams of eight runners of one version. A runner without work restarts under its id with another version; soon
 * after, one with streams crashes, and its streams have to go on elsewhere.
 */
final class RestartedRunner {

    private static final int PROMPT_TOKENS = 5_200;
    private static final int EVENTS = 90;
    private static final int EVENT_MILLIS = 60;

    /** Time between the start of the restarted runner and the crash of the other one, in milliseconds. */
    private static final long BETWEEN_MILLIS = 150;

    private RestartedRunner() {}

    /**
     * Plays the case.
     *
     * @param streams number of streams
     * @param registrationMillis time from the crash until the restarted runner writes its entry into the store
     * @return the clients of the streams
     */
    static List<StreamClient> play(Case run, int streams, long registrationMillis) throws Exception {
        run.store.put("op/config", Site.manifest(7, 3));
        List<ModelRunner> runners = new ArrayList<>();
        for (int number = 1; number <= 8; number++) {
            runners.add(new ModelRunner("i-" + number, "model", "v1", EVENT_MILLIS, run.recorder));
        }
        ModelRunner idle = runners.getLast();
        for (ModelRunner runner : runners) {
            if (runner != idle) {
                runner.register(run.store, "ready");
            }
        }
        run.startEntries(1, Site.BOUNDS);
        ShortStreams others = new ShortStreams(run, 40);
        Thread.sleep(10_500);
        others.stop();
        List<StreamClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < streams; number++) {
            StreamClient client = new StreamClient("s" + number, run.recorder);
            clients.add(client);
            threads.add(Thread.ofVirtual().start(() -> client.run(
                    run.entries.getFirst().front,
                    "/stream/a",
                    PROMPT_TOKENS,
                    EVENTS,
                    "aa:200," + client.attempt + ":5000",
                    OptionalInt.empty())));
            Thread.sleep(50);
        }
        // A runner that has just been added has no work yet.
        idle.register(run.store, "ready");
        Thread.sleep(1_500);
        if (run.trouble) {
            ModelRunner busy = busiest(runners);
            idle.restart("v2", 0);
            Thread.sleep(BETWEEN_MILLIS);
            busy.restart("v2", 0);
            Thread.sleep(registrationMillis);
            idle.register(run.store, "ready");
            Thread.sleep(500);
            busy.register(run.store, "ready");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return clients;
    }

    /** Returns the runner with the most streams in progress. */
    private static ModelRunner busiest(List<ModelRunner> runners) {
        ModelRunner busiest = runners.getFirst();
        for (ModelRunner runner : runners) {
            busiest = runner.running() > busiest.running() ? runner : busiest;
        }
        return busiest;
    }
}
