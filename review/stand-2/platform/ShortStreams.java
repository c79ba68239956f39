import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Other clients, who send short streams to all entries in turn until they are stopped. */
final class ShortStreams {

    private static final int PROMPT_TOKENS = 260;
    private static final int EVENTS = 3;

    final AtomicInteger asked = new AtomicInteger();
    final AtomicInteger begun = new AtomicInteger();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private final Thread sender;
    private volatile boolean stopped;

    ShortStreams(Case run, long intervalMillis) {
        sender = Thread.ofVirtual().start(() -> {
            for (int number = 0; !stopped; number++) {
                StreamClient client = new StreamClient("w" + number, run.recorder);
                Entry entry = run.entries.get(number % run.entries.size());
                threads.add(Thread.ofVirtual().start(() -> send(client, entry)));
                try {
                    Thread.sleep(intervalMillis);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
    }

    private void send(StreamClient client, Entry entry) {
        String parts = "aa:200," + client.attempt + ":60";
        client.run(entry.front, "/stream/a", PROMPT_TOKENS, EVENTS, parts, OptionalInt.empty());
        asked.incrementAndGet();
        if (!client.numbers.isEmpty()) {
            begun.incrementAndGet();
        }
    }

    /** Sends no more and waits for the answers. */
    void stop() throws InterruptedException {
        stopped = true;
        sender.join();
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
