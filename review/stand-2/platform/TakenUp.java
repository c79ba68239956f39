import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 6: clients take up streams whose runners crashed one after the other. */
final class TakenUp {

    /** Entries as on the sheet. */
    private static final int ENTRIES = 5;

    /** Events of a stream, one each 100 ms; the sheet's largest number is 130. */
    private static final int EVENTS = 110;

    /** Time between two new short streams, in milliseconds: the 9.1 streams a second of the sheet. */
    private static final long INTERVAL_MILLIS = 110;

    private static final int STREAMS = 50;

    /** Time after which a client opens a new channel for its broken stream, in milliseconds. */
    private static final long CLIENT_PAUSE_MILLIS = 500;

    private static final int JUDGED_FROM = 12;

    private final Case run;
    private final AtomicInteger taken = new AtomicInteger();
    private final AtomicInteger goesOn = new AtomicInteger();

    private TakenUp(Case run) {
        this.run = run;
    }

    public static void main(String[] arguments) throws Exception {
        new TakenUp(new Case(arguments)).play();
    }

    private void play() throws Exception {
        run.store.put("op/config", Site.manifest(7, 2));
        List<ModelRunner> runners = new ArrayList<>();
        for (int number = 1; number <= 5; number++) {
            ModelRunner runner = new ModelRunner("i-" + number, "model", "v1", 100, run.recorder);
            runner.register(run.store, "ready");
            runners.add(runner);
        }
        run.startEntries(ENTRIES, Site.BOUNDS);
        ShortStreams others = new ShortStreams(run, INTERVAL_MILLIS);
        Thread.sleep(10_500);
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            int own = number;
            threads.add(Thread.ofVirtual().start(() -> client(own)));
            Thread.sleep(INTERVAL_MILLIS);
        }
        if (run.trouble) {
            for (ModelRunner runner : runners) {
                runner.restart("v1", 700);
                runner.register(run.store, "ready");
                Thread.sleep(700);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        others.stop();
        String result = taken + " streams taken up, " + goesOn + " of them go on; " + others.asked
                + " new streams, " + others.begun + " of them begin";
        if (run.trouble && taken.get() < JUDGED_FROM) {
            run.notRun("the rule needs " + JUDGED_FROM + " streams that are taken up: " + result);
        }
        double shareOn = taken.get() == 0 ? 1 : goesOn.get() / (double) taken.get();
        double shareBegun = others.begun.get() / (double) others.asked.get();
        run.finish(result, taken.get() >= JUDGED_FROM && shareOn < shareBegun / 2);
    }

    /** One client: a stream and, if its channel broke behind an event, one more try at the other entry. */
    private void client(int number) {
        String first = "s" + number;
        String parts = "aa:200," + first + ":400";
        long started = run.recorder.millis();
        StreamClient stream = new StreamClient(first, run.recorder);
        stream.run(run.entries.get(number % ENTRIES).front, "/stream/a", 600, EVENTS, parts, OptionalInt.empty());
        if (stream.complete || stream.numbers.isEmpty()) {
            return;
        }
        try {
            Thread.sleep(CLIENT_PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            return;
        }
        taken.incrementAndGet();
        OptionalInt last = OptionalInt.of(stream.numbers.getLast());
        StreamClient again = new StreamClient(first + "-again", run.recorder);
        again.timeLeftMillis -= run.recorder.millis() - started;
        again.run(run.entries.get((number + 1) % ENTRIES).front, "/stream/a", 600, EVENTS, parts, last, first);
        if (!again.numbers.isEmpty()) {
            goesOn.incrementAndGet();
        }
    }
}
