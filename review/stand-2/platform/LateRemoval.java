import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Case 7: a runner leaves soon after an entry's open channel to the store has gone silent. */
final class LateRemoval {

    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** Time for which a request may be on its way to a runner, in milliseconds. */
    private static final long MARGIN_MILLIS = 50;

    private static final int RUNNERS = 8;

    /** Time between two requests, in milliseconds. */
    private static final long INTERVAL_MILLIS = 10;

    private LateRemoval() {}

    public static void main(String[] arguments) throws Exception {
        Case run = new Case(arguments);
        run.store.put("op/config", Site.manifest(7, 2));
        List<AppRunner> runners = new ArrayList<>();
        List<AppRunner> registered = new CopyOnWriteArrayList<>();
        for (int number = 1; number <= RUNNERS; number++) {
            AppRunner runner = new AppRunner("i-" + number, 30, run.recorder);
            runner.register(run.store, "app");
            runners.add(runner);
            registered.add(runner);
        }
        Thread.ofVirtual().start(() -> heartbeats(run, registered));
        StoreProxy proxy = new StoreProxy(run.store.address());
        run.startEntries(1, Site.BOUNDS, Entry.text(proxy.address()));
        Thread clients = Thread.ofVirtual().start(() -> requests(run));
        Thread.sleep(6_000);
        if (run.trouble) {
            run.recorder.line("open channels to the store go silent: " + proxy.silenceOpen());
        }
        // Silence counts as a reset of the channels of all machines: behind this time they are in touch again.
        Thread.sleep(CONTACT_MILLIS + MARGIN_MILLIS);
        AppRunner leaving = busiest(runners);
        synchronized (registered) {
            registered.remove(leaving);
            run.store.put("servers/" + leaving.id, null);
        }
        long acknowledged = run.recorder.millis();
        run.recorder.line("store: " + leaving.id + " is removed; it goes on serving");
        Thread.sleep(DRAIN_MILLIS + 2_000);
        clients.interrupt();
        int late = 0;
        long latest = 0;
        for (long arrival : leaving.arrivals.values()) {
            long behind = arrival - acknowledged - DRAIN_MILLIS;
            if (behind > MARGIN_MILLIS) {
                late++;
                latest = Math.max(latest, behind);
            }
        }
        run.finish(
                late + " requests reached a runner later than " + (DRAIN_MILLIS + MARGIN_MILLIS)
                        + " ms after its removal, sent by an entry in touch, " + latest + " ms past drain_ms at most",
                late > 0);
    }

    /** Returns the runner that has had the most requests: an entry uses few runners while it has little to send. */
    private static AppRunner busiest(List<AppRunner> runners) {
        AppRunner busiest = runners.getFirst();
        for (AppRunner runner : runners) {
            busiest = runner.arrivals.size() > busiest.arrivals.size() ? runner : busiest;
        }
        return busiest;
    }

    private static void heartbeats(Case run, List<AppRunner> registered) {
        try {
            while (true) {
                for (AppRunner runner : registered) {
                    synchronized (registered) {
                        if (registered.contains(runner)) {
                            runner.register(run.store, "app");
                        }
                    }
                    Thread.sleep(HEARTBEAT_MILLIS / RUNNERS);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void requests(Case run) {
        try {
            for (int number = 0; ; number++) {
                String attempt = "r" + number;
                Thread.ofVirtual().start(() -> {
                    int status = PlainClient.call(run.entries.getFirst().front, "GET", "/read/a", attempt, 3_000);
                    run.recorder.line("client has " + attempt + " status " + status);
                });
                Thread.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
